/*
 * Benchmarks of a gateway's control thread: microseconds per operation, heap and report size.
 */
package org.gypsumroute.capacity

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptId
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerLimits
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.EngineProfile
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.GapTolerance
import org.gypsumroute.api.GatewayBounds
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReadId
import org.gypsumroute.api.RegionId
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.RequestHead
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Revision
import org.gypsumroute.api.Route
import org.gypsumroute.api.RouteName
import org.gypsumroute.api.RoutingTable
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceRule
import org.gypsumroute.api.StoreEra
import org.gypsumroute.api.StorePosition
import org.gypsumroute.api.TableVersion
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.UnixTime
import org.gypsumroute.api.WeightedService
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.NodeIdentity
import org.gypsumroute.core.Timings
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.core.gateway.exchange.ExchangeState
import org.gypsumroute.core.gateway.placement.ForwardPlacements
import org.gypsumroute.core.gateway.placement.GatewayPolicies
import org.gypsumroute.wire.encodeReport

/** Microseconds per short request, from arrival to end, with [engines] engines of its service. */
internal fun forwardedShort(engines: Int): Double = forwardRequests(engines, SHORT_PROMPT_TOKENS)

/** Microseconds per long request, whose placement also considers groups of engines. */
internal fun forwardedLong(engines: Int): Double = forwardRequests(engines, LONG_PROMPT_TOKENS)

/** Microseconds per report of another gateway that has open work at [engines] engines. */
internal fun reportReceived(engines: Int): Double {
    val gateway = sampleGateway(engines)
    var sequence = 0L
    return microsecondsPerCall {
        gateway.feed(ExchangeEvent.ReportReceived(otherGateway, sampleReport(engines, ++sequence)))
    }
}

/** Encoded bytes of a report whose sender has open work at [engines] engines. */
internal fun reportBytes(engines: Int): Double =
    encodeReport(sampleReport(engines, 1)).size.toDouble()

/** Bytes of heap of a gateway's state with [engines] known engines. */
internal fun heapOfEngines(engines: Int): Long = retainedBytes { sampleGateway(engines) }

/** Bytes of heap of a gateway's state with [requests] open requests. */
internal fun heapOfForwardedRequests(requests: Int): Long = retainedBytes {
    sampleGateway(ENGINES_PER_MODEL).also { gateway ->
        repeat(requests) { gateway.feed(arrival("open-$it", SHORT_PROMPT_TOKENS)) }
    }
}

private fun forwardRequests(engines: Int, promptTokens: Long): Double {
    val gateway = sampleGateway(engines)
    var number = 0
    return microsecondsPerCall {
        val id = "request-${number++}"
        val attempt = gateway.feed(arrival(id, promptTokens)).firstAttempt()
        gateway.feed(ForwardEvent.StreamBegun(RequestId(id), attempt))
        val completed = AttemptOutcome.Completed(STATUS_OK, Duration.ZERO)
        gateway.feed(ForwardEvent.AttemptEnded(RequestId(id), attempt, completed))
    }
}

private fun List<Effect>.firstAttempt(): AttemptId =
    firstNotNullOf { (it as? ForwardEffect.Send)?.attempt }

private fun arrival(id: String, promptTokens: Long) = ForwardEvent.Arrived(
    RequestId(id),
    RequestHead(
        callerRequestId = id,
        hostName = "a.example",
        path = "/a/b",
        keyDigest = null,
        timeout = 10.seconds,
        promptTokens = Tokens(promptTokens),
        outputLimit = null,
        expectedOutput = null
    ),
    Bytes(0)
)

private fun sampleGateway(engines: Int) = SampleProcess(
    GatewayState(
        CommonState(
            NodeIdentity(
                HostId("gateway"),
                IncarnationId("1"),
                NodeRole.GATEWAY,
                RegionId("region"),
                DataCentreId("zone-0")
            ),
            Timings(),
            defaultPolicies
        ),
        GatewayBounds(
            2.seconds,
            0.2,
            10.seconds,
            100.0,
            2.seconds,
            2.seconds,
            3.seconds,
            8.seconds
        ),
        GatewayPolicies(ForwardPlacements.leastPredictedLoss),
        ExchangeState(EndpointAddress("10.0.0.1", 7000), emptyList()),
        UnixTime(0)
    )
).apply {
    feed(RuntimeEvent.Started)
    val records = List(engines) { PublishedRecord.Endpoint(sampleEngine(it)) }
    val table = PublishedRecord.Table(sampleTable)
    feed(PublishedEvent.SnapshotRead(ReadId(1), Revision(1), listOf(table) + records))
}

private fun sampleEngine(number: Int) = EndpointRecord(
    id = EndpointId("engine-$number"),
    service = sampleModel,
    address = EndpointAddress("10.1.${number / 250}.${number % 250}", 80),
    dataCentre = DataCentreId("zone-${number % 4}"),
    slots = 16,
    leaving = false,
    coldRemaining = Duration.ZERO,
    startedAt = UnixTime(1),
    sequence = 1
)

private fun sampleReport(engines: Int, sequence: Long) = GatewayReport(
    host = HostId("gateway-2"),
    incarnation = IncarnationId("1"),
    sequence = sequence,
    position = StorePosition(StoreEra.NONE, Revision(1)),
    storeReachable = true,
    ready = true,
    loads = List(engines) { EndpointId("engine-$it") to sampleLoad }.toMap(),
    members = emptyList()
)

private val sampleModel = ServiceId("model")
private val otherGateway = EndpointAddress("10.0.0.2", 7000)
private val sampleLoad = EngineLoad(
    openRequests = 2,
    decodingRequests = 1,
    context = 20_000,
    pendingPrefill = 30.milliseconds,
    totalPrefillSent = 90.seconds,
    gapTolerances = listOf(GapTolerance(200.milliseconds, 2.5))
)
private val sampleTable = RoutingTable(
    version = TableVersion(1),
    routes = listOf(
        Route(
            name = RouteName("route"),
            hostName = "a.example",
            prefix = "/a/",
            repetition = Repetition.RESUMABLE,
            streaming = true,
            timeout = 10.seconds,
            objective = 1.seconds,
            gapObjective = 200.milliseconds,
            priority = 1,
            trafficSplit = listOf(WeightedService(sampleModel, 1.0)),
            maxAttempts = 2,
            public = true
        )
    ),
    services = mapOf(
        sampleModel to ServiceRule(
            sampleModel,
            0.0,
            EngineProfile(
                slots = 16,
                memory = Tokens(450_000),
                stepTime = 925.microseconds,
                stepTimePerSequence = 7.microseconds,
                stepTimePerThousandContextTokens = 2540.nanoseconds,
                prefillTimePerToken = 3906.nanoseconds,
                prefillTimePerMillionPairs = 91_700.nanoseconds,
                prefillChunkTokens = 2048,
                stepsPerPass = 46,
                typicalOutput = Tokens(1500)
            )
        )
    ),
    organisations = null,
    limits = CallerLimits(16_384, 4_194_304, 3.seconds, 15.seconds)
)

private const val SHORT_PROMPT_TOKENS = 5_000L
private const val LONG_PROMPT_TOKENS = 210_000L
private const val ENGINES_PER_MODEL = 255
private const val STATUS_OK = 200
