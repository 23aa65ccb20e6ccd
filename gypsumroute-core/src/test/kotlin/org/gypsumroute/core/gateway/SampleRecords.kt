/*
 * Records, request heads and reports of other gateways, for tests of a gateway's reducer.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.CallerLimits
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.EngineProfile
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.GatewayBounds
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.OrganisationKeys
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.RequestHead
import org.gypsumroute.api.Revision
import org.gypsumroute.api.Route
import org.gypsumroute.api.RouteName
import org.gypsumroute.api.RoutingTable
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceRule
import org.gypsumroute.api.StoreEra
import org.gypsumroute.api.StorePosition
import org.gypsumroute.api.TableVersion
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.UnixTime
import org.gypsumroute.api.WeightedService

internal val homeDataCentre = DataCentreId("home")
internal val plainService = ServiceId("plain")
internal val modelService = ServiceId("model")
internal const val KEY_DIGEST = "digest-1"

internal val sampleBounds = GatewayBounds(
    changeTime = 2.seconds,
    retryRatio = 0.2,
    retryWindow = 10.seconds,
    retryAllowance = 10.0,
    endpointLapseTime = 2400.milliseconds,
    endpointGracePeriod = 2300.milliseconds,
    reservationHold = 3.seconds,
    drainTime = 8.seconds
)

/** A profile similar to a real engine's: 20 ms to read 5,000 tokens, 43 ms for a pass. */
internal val sampleProfile = EngineProfile(
    slots = 11,
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

internal fun routeOf(
    prefix: String,
    service: ServiceId,
    repetition: Repetition,
    streaming: Boolean = false,
    maxAttempts: Int = 2,
    public: Boolean = false
) = Route(
    name = RouteName(prefix),
    hostName = "a.example",
    prefix = prefix,
    repetition = repetition,
    streaming = streaming,
    timeout = if (streaming) 10.seconds else 600.milliseconds,
    objective = if (streaming) 300.milliseconds else 100.milliseconds,
    gapObjective = if (streaming) 200.milliseconds else null,
    priority = 1,
    trafficSplit = listOf(WeightedService(service, 1.0)),
    maxAttempts = maxAttempts,
    public = public
)

internal fun tableOf(version: Long, vararg routes: Route) = RoutingTable(
    version = TableVersion(version),
    routes = routes.asList(),
    services = listOf(
        ServiceRule(plainService, 0.0, null),
        ServiceRule(modelService, 26.0, sampleProfile)
    ).associateBy { it.service },
    organisations = listOf(OrganisationKeys(OrganisationId("o"), setOf(KEY_DIGEST), null)),
    limits = CallerLimits(16_384, 1_000_000, 3.seconds, 15.seconds)
)

internal val sampleTable = tableOf(
    1,
    routeOf("/plain/", plainService, Repetition.IDEMPOTENT),
    routeOf("/order/", plainService, Repetition.AT_MOST_ONCE, maxAttempts = 2),
    routeOf("/once/", plainService, Repetition.AT_MOST_ONCE, maxAttempts = 1),
    routeOf("/open/", plainService, Repetition.IDEMPOTENT, public = true),
    routeOf("/stream/", modelService, Repetition.RESUMABLE, streaming = true),
    routeOf("/fixed/", modelService, Repetition.AT_MOST_ONCE, streaming = true)
)

internal fun endpointOf(
    id: String,
    service: ServiceId = plainService,
    dataCentre: DataCentreId = homeDataCentre,
    leaving: Boolean = false,
    coldRemaining: Duration = Duration.ZERO,
    startStamp: Long? = 1,
    sequence: Long = 1
) = EndpointRecord(
    id = EndpointId(id),
    service = service,
    address = EndpointAddress(id, 80),
    dataCentre = dataCentre,
    slots = if (service == modelService) 11 else 6,
    leaving = leaving,
    coldRemaining = coldRemaining,
    startedAt = startStamp?.let { UnixTime(it) },
    sequence = sequence
)

internal fun headOf(
    path: String,
    key: String? = KEY_DIGEST,
    prompt: Long? = null,
    deadline: Duration? = null,
    output: Long? = null
) = RequestHead(
    callerRequestId = "caller-$path",
    hostName = "a.example",
    path = path,
    keyDigest = key,
    timeout = deadline,
    promptTokens = prompt?.let { Tokens(it) },
    outputLimit = output?.let { Tokens(it) },
    expectedOutput = null
)

/** A report of another gateway. */
internal fun reportFrom(
    host: String,
    sequence: Long = 1,
    incarnation: String = "1",
    position: StorePosition = StorePosition.NONE,
    ready: Boolean = true,
    loads: Map<EndpointId, EngineLoad> = emptyMap(),
    members: List<EndpointAddress> = emptyList(),
    storeAnswerAge: Duration? = null,
    tableVersion: Long? = null
) = ExchangeEvent.ReportReceived(
    EndpointAddress(host, 7000),
    GatewayReport(
        HostId(host),
        IncarnationId(incarnation),
        sequence,
        position,
        storeReachable = true,
        ready = ready,
        loads = loads,
        members = members,
        storeAnswerAge = storeAnswerAge,
        tableVersion = tableVersion?.let { TableVersion(it) }
    )
)

/** Position of a store that states no eras. */
internal fun positionOf(revision: Long, era: Long = 0) =
    StorePosition(StoreEra(era), Revision(revision))
