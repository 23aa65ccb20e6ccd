package org.gypsumroute.core.gateway

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CrashReport
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointLoadReport
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.EndpointStart
import org.gypsumroute.api.EndpointStatement
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.EngineProfile
import org.gypsumroute.api.Event
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.GapTolerance
import org.gypsumroute.api.GatewayBounds
import org.gypsumroute.api.OrganisationDigest
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.ReportedClearance
import org.gypsumroute.api.ReportedLeaving
import org.gypsumroute.api.ReportedLoss
import org.gypsumroute.api.ReportedPace
import org.gypsumroute.api.ReportedSuspicion
import org.gypsumroute.api.RequestHead
import org.gypsumroute.api.Route
import org.gypsumroute.api.RouteName
import org.gypsumroute.api.RoutingTable
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceRule
import org.gypsumroute.api.StatementKind
import org.gypsumroute.api.TableVersion
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.UnixTime
import org.gypsumroute.api.WeightedService

/**
 * Random values, often the least or the largest that the decoders of the protocols let through.
 * There are up to [maxEndpoints] endpoints.
 */
internal class Extremes(private val random: Random, private val maxEndpoints: Int) {
    private var version = 0L

    fun count(largest: Int = Int.MAX_VALUE): Int =
        listOf(0, 1, 2, largest, random.nextInt(0, largest), random.nextInt(1, 100)).random(random)

    private fun positiveCount(largest: Int = Int.MAX_VALUE): Int = count(largest).coerceAtLeast(1)

    fun duration(longest: Duration = 1.days): Duration =
        listOf(Duration.ZERO, 1.nanoseconds, 1.milliseconds, 1.seconds, longest).random(random)
            .let { if (random.nextBoolean()) it else longest * random.nextDouble() }
            .coerceAtMost(longest)

    private fun positiveDuration(longest: Duration = 1.days): Duration =
        duration(longest).coerceAtLeast(1.nanoseconds)

    private fun tokens(largest: Long): Tokens =
        Tokens(listOf(0L, 1L, 1000L, largest, random.nextLong(0, largest)).random(random))

    private fun number(): Double =
        listOf(0.0, Double.MIN_VALUE, 0.3, 1.0, 1000.0, LARGEST_NUMBER).random(random)

    fun bodySize() = Bytes(random.nextLong(0, 1L shl 30))

    private fun endpointId() = EndpointId("e${random.nextInt(maxEndpoints)}")

    private fun serviceId() = ServiceId("s${random.nextInt(SERVICES)}")

    private fun part() = PromptPartId(random.nextLong(0, PARTS))

    fun addresses(): List<EndpointAddress> =
        List(random.nextInt(0, 40)) { EndpointAddress("10.0.0.$it", random.nextInt(1, 65536)) }

    fun head() = RequestHead(
        callerRequestId = "c",
        hostName = "a.example",
        path = "/${random.nextInt(ROUTES)}/x",
        keyDigest = KEY_DIGEST,
        timeout = if (random.nextBoolean()) null else duration(MAX_FIGURE.milliseconds),
        promptTokens = if (random.nextInt(5) == 0) null else tokens(MAX_FIGURE),
        outputLimit = if (random.nextBoolean()) null else tokens(MAX_FIGURE),
        expectedOutput = if (random.nextBoolean()) null else tokens(MAX_FIGURE),
        promptParts = List(listOf(0, 1, 2, 30, MAX_PARTS).random(random)) { part() }.distinct()
    )

    fun failure(): AttemptOutcome = listOf(
        AttemptOutcome.Failed(500),
        AttemptOutcome.NotRun(503, misdirected = false),
        AttemptOutcome.NotRun(421, misdirected = true),
        AttemptOutcome.NeverSent("connect"),
        AttemptOutcome.Lost("closed", connectionLost = true),
        AttemptOutcome.Lost("malformed"),
        AttemptOutcome.Broken("closed", connectionLost = true)
    ).random(random)

    fun statement(): Event = ForwardEvent.EndpointStated(
        endpointId(),
        startedAt(),
        when (random.nextInt(4)) {
            0 -> EndpointStatement.Leaving

            1 -> EndpointStatement.Pause(positiveDuration(1.hours))

            2 -> EndpointStatement.Unusable(StatementKind.entries.random(random))

            else -> EndpointStatement.Load(
                EndpointLoadReport(count(MAX_COUNT), count(MAX_COUNT), positiveCount(MAX_COUNT))
            )
        }
    )

    fun bounds() = GatewayBounds(
        changeTime = 2.seconds,
        retryRatio = number(),
        retryWindow = duration(10.minutes).coerceAtLeast(1.seconds),
        retryAllowance = number(),
        endpointLapseTime = positiveDuration(),
        endpointGracePeriod = 2500.milliseconds,
        reservationHold = duration(20.seconds).coerceAtLeast(100.milliseconds),
        drainTime = duration()
    )

    /** A routing table and endpoints, as many as this run has. */
    fun allRecords(): List<PublishedRecord> = listOf(PublishedRecord.Table(table())) +
        List(positiveCount(maxEndpoints)) { PublishedRecord.Endpoint(endpoint("e$it")) }

    fun someRecords(): List<PublishedRecord> = List(random.nextInt(1, 6)) {
        when (random.nextInt(5)) {
            0 -> PublishedRecord.Table(table())
            1 -> PublishedRecord.EndpointRemoved(endpointId())
            2 -> PublishedRecord.DataCentreOut(dataCentre())
            3 -> PublishedRecord.DataCentreBack(dataCentre())
            else -> PublishedRecord.Endpoint(endpoint(endpointId().value))
        }
    }

    private fun dataCentre() = DataCentreId("z${random.nextInt(2)}")

    private fun startedAt() = if (random.nextInt(5) == 0) null else UnixTime(random.nextLong(0, 3))

    private fun endpoint(id: String) = EndpointRecord(
        EndpointId(id),
        serviceId(),
        EndpointAddress(id, random.nextInt(1, 65536)),
        dataCentre(),
        positiveCount(),
        leaving = random.nextInt(6) == 0,
        coldRemaining = if (random.nextBoolean()) Duration.ZERO else duration(),
        startedAt = startedAt(),
        sequence = version
    )

    private fun table() = RoutingTable(
        TableVersion(++version),
        routes = List(listOf(1, 2, ROUTES, MAX_ROUTES).random(random)) { route(it) },
        services = List(SERVICES - 1) { index ->
            val engine = if (index == 0) null else profile()
            ServiceRule(ServiceId("s$index"), number(), engine)
        }.associateBy { it.service },
        organisations = if (random.nextBoolean()) null else sampleTable.organisations,
        limits = sampleTable.limits
    )

    private fun route(index: Int) = Route(
        RouteName("$index"),
        hostName = "a.example",
        prefix = "/$index/",
        repetition = Repetition.entries.random(random),
        streaming = random.nextBoolean(),
        timeout = positiveDuration(2.minutes),
        objective = positiveDuration(),
        gapObjective = if (random.nextBoolean()) null else positiveDuration(),
        priority = count(),
        trafficSplit = List(random.nextInt(1, 4)) { WeightedService(serviceId(), number()) },
        maxAttempts = positiveCount(),
        public = random.nextBoolean()
    )

    private fun profile() = EngineProfile(
        slots = positiveCount(),
        memory = tokens(Long.MAX_VALUE).let { Tokens(it.count.coerceAtLeast(1)) },
        stepTime = positiveDuration(),
        stepTimePerSequence = duration(),
        stepTimePerThousandContextTokens = duration(),
        prefillTimePerToken = positiveDuration(),
        prefillTimePerMillionPairs = duration(),
        prefillChunkTokens = positiveCount(),
        stepsPerPass = positiveCount(),
        typicalOutput = tokens(MAX_FIGURE)
    )

    fun report(): Event {
        val event = reportFrom(
            host = "10.0.0.${random.nextInt(2, 40)}",
            sequence = random.nextLong(0, 1000),
            incarnation = "${random.nextInt(2)}",
            loads = List(random.nextInt(0, 5)) { endpointId() to load() }.toMap(),
            members = addresses()
        )
        val report = event.report.copy(
            crashes = crashReport(),
            age = duration(),
            leaving = List(random.nextInt(0, 3)) {
                ReportedLeaving(endpointId(), startedAt(), duration())
            },
            paces = List(random.nextInt(0, 3)) { pace() }
        )
        return event.copy(report = report)
    }

    private fun load() = EngineLoad(
        openRequests = count(MAX_COUNT),
        decodingRequests = count(MAX_COUNT),
        context = tokens(MAX_CONTEXT).count,
        pendingPrefill = duration(30.days),
        totalPrefillSent = duration(MAX_TOTAL_MS.milliseconds),
        totalHelperPrefillSent = duration(MAX_TOTAL_MS.milliseconds),
        delayCostPerSecond = number(),
        gapTolerances = List(random.nextInt(0, 3)) { GapTolerance(duration(), number()) }
    )

    private fun pace() = ReportedPace(
        endpointId(),
        startedAt(),
        ratio = random.nextDouble(1.0, 32.0),
        weight = random.nextDouble(0.01, 5.0)
    )

    private fun crashReport() = CrashReport(
        suspicions = List(random.nextInt(0, 4)) {
            val losses = List(random.nextInt(0, 5)) { loss() }
            ReportedSuspicion(List(random.nextInt(1, 9)) { part() }, count(), losses)
        },
        clearances = List(random.nextInt(0, 3)) { ReportedClearance(listOf(part()), duration()) }
    )

    private fun loss(): ReportedLoss {
        val lostAgo = duration(1.hours)
        return ReportedLoss(
            EndpointStart(random.nextInt()),
            OrganisationDigest(random.nextInt()),
            lostAgo + duration(1.hours),
            lostAgo
        )
    }

    private companion object {
        const val SERVICES = 4
        const val ROUTES = 6
        const val PARTS = 20_000L

        /** As many entries as fit into a header, and routes as fit into a record. */
        const val MAX_PARTS = 5000
        const val MAX_ROUTES = 5000
        const val MAX_FIGURE = 1_000_000_000L
        const val MAX_COUNT = 1_000_000
        const val MAX_CONTEXT = 1_000_000_000_000L
        const val MAX_TOTAL_MS = 1_000_000_000_000_000L
        const val LARGEST_NUMBER = 1e9
    }
}
