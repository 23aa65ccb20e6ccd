package org.gypsumroute.core.gateway

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptId
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.EndpointStatement
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.core.FailingReducer
import org.gypsumroute.core.reduce

/** One random sequence of events; its effects are checked after each. */
internal class RandomGatewayRun(
    private val seed: Int,
    private val drainStep: Int? = null,
    failures: FailingReducer? = null
) {
    private val random = Random(seed)
    private val harness = GatewayHarness(reducer = failures ?: ::reduce)
    private val checks = GatewayRunChecks(seed, harness)
    private val requests = checks.requests
    private var nextRequest = 0
    private var nextVersion = 1L

    fun run(steps: Int) {
        checks.verifyEffects(harness.feed(RuntimeEvent.Started))
        repeat(steps) { step ->
            if (step == drainStep) startDrain()
            checks.verifyEffects(randomEvent())
            if (random.nextInt(3) == 0) {
                checks.verifyEffects(harness.advance(random.nextInt(0, 400).milliseconds))
            }
        }
        checks.verifyEffects(harness.advance(60.seconds))
        checks.verifyEnd()
    }

    private fun startDrain() {
        checks.drainedAt = harness.now
        checks.verifyEffects(harness.feed(RuntimeEvent.DrainRequested))
    }

    private fun randomEvent(): List<Effect> = when (random.nextInt(24)) {
        in 0..6 -> arrive()

        in 7..10 -> endAttempt()

        11 -> beginStream()

        12 -> leaveCaller()

        13 -> changeEndpoint()

        14 -> publishSnapshot()

        15 -> harness.failRead()

        16 -> if (random.nextBoolean()) {
            harness.loseHistory()
        } else {
            endAttemptLate()
        }

        17 -> answerReservation()

        18 -> pause()

        19, 20 -> stallAttempt()

        21 -> takeOver()

        22 -> stateSomething()

        else -> report()
    }

    private fun arrive(): List<Effect> {
        val path = listOf(
            "/plain/",
            "/order/",
            "/once/",
            "/stream/",
            "/fixed/",
            "/none/"
        ).random(random)
        val id = RequestId("r${nextRequest++}")
        val route = harness.state.published.routes.find("a.example", path)
        requests[id] = ModelRequest(
            route?.repetition ?: Repetition.AT_MOST_ONCE,
            route?.maxAttempts ?: 0
        )
        if (route != null) checks.arrivals += harness.now
        val prompt = listOf(100L, 5_000L, 210_000L, 900_000L).random(random)
        val head = headOf(path, prompt = prompt, deadline = random.nextInt(1, 12_000).milliseconds)
        return harness.arrive(id.value, head).also {
            requests.getValue(id).deadline = harness.state.requests[id]?.deadline
            requests.getValue(id).cameAfterRefusal = checks.acceptTimeIsOver()
        }
    }

    private fun endAttempt(): List<Effect> {
        val (id, request) = requestWithAttempt() ?: return emptyList()
        if (request.stalledAttempt != null && random.nextBoolean()) return endStalled(id, request)
        val outcome = listOf(
            AttemptOutcome.Completed(200, Duration.ZERO),
            AttemptOutcome.Failed(500),
            AttemptOutcome.NotRun(503, misdirected = false),
            AttemptOutcome.NotRun(421, misdirected = true),
            AttemptOutcome.NeverSent("connect"),
            AttemptOutcome.Lost("reset"),
            AttemptOutcome.Broken("reset")
        ).filter {
            !request.answerStarted || it is AttemptOutcome.Completed ||
                it is AttemptOutcome.Broken || request.stalledAttempt != null
        }
            .random(random)
        val attempt = request.openAttempt!!
        request.openAttempt = null
        when (outcome) {
            is AttemptOutcome.Completed -> request.ended = true
            is AttemptOutcome.NeverSent -> request.sends--
            is AttemptOutcome.NotRun -> Unit
            else -> request.mayHaveRun = true
        }
        if (outcome is AttemptOutcome.Broken) request.answerStarted = true
        return harness.feed(ForwardEvent.AttemptEnded(id, attempt, outcome))
    }

    private fun endStalled(id: RequestId, request: ModelRequest): List<Effect> {
        val attempt = request.stalledAttempt!!
        request.stalledAttempt = null
        return harness.feed(
            ForwardEvent.AttemptEnded(id, attempt, AttemptOutcome.Broken("reset"))
        )
    }

    private fun stallAttempt(): List<Effect> {
        val (id, request) = requestWithAttempt() ?: return emptyList()
        request.reportedAsStalled = request.openAttempt
        return harness.feed(ForwardEvent.AttemptStalled(id, request.openAttempt!!))
    }

    /** One of two open attempts delivers a part of the answer, which stops the other. */
    private fun takeOver(): List<Effect> {
        val (id, request) = requests.entries.filter {
            !it.value.ended && it.value.openAttempt != null && it.value.stalledAttempt != null
        }.randomOrNull(random) ?: return emptyList()
        val winner = listOf(request.openAttempt!!, request.stalledAttempt!!).random(random)
        request.openAttempt = winner
        request.stalledAttempt = null
        return harness.feed(ForwardEvent.AttemptTookOver(id, winner))
    }

    private fun beginStream(): List<Effect> {
        val (id, request) = requestWithAttempt()?.takeIf { it.value.stalledAttempt == null }
            ?: return emptyList()
        request.answerStarted = true
        request.mayHaveRun = true
        return harness.feed(ForwardEvent.StreamBegun(id, request.openAttempt!!))
    }

    private fun leaveCaller(): List<Effect> {
        val id = requests.entries.filter { !it.value.ended }.randomOrNull(random)?.key
            ?: return emptyList()
        requests.getValue(id).ended = true
        return harness.feed(ForwardEvent.CallerLeft(id))
    }

    /** An event of an ended attempt or request must not change anything for the caller. */
    private fun endAttemptLate(): List<Effect> {
        val id = requests.entries.filter { it.value.ended }.randomOrNull(random)?.key
            ?: return emptyList()
        val outcome = AttemptOutcome.Lost("late")
        return harness.feed(ForwardEvent.AttemptEnded(id, AttemptId(1), outcome))
    }

    private fun randomEndpoint(): EndpointRecord {
        val hasModel = random.nextBoolean()
        return endpointOf(
            id = (if (hasModel) "m" else "p") + random.nextInt(4),
            service = if (hasModel) modelService else plainService,
            dataCentre = if (random.nextBoolean()) homeDataCentre else DataCentreId("away"),
            leaving = random.nextInt(5) == 0,
            coldRemaining = if (random.nextInt(4) == 0) 3.seconds else Duration.ZERO,
            startStamp = random.nextLong(0, 3)
        )
    }

    private fun changeEndpoint(): List<Effect> {
        val otherDataCentre = DataCentreId("away")
        val record = when (random.nextInt(7)) {
            0 -> PublishedRecord.EndpointRemoved(randomEndpoint().id)
            1 -> PublishedRecord.DataCentreOut(otherDataCentre)
            2 -> PublishedRecord.DataCentreBack(otherDataCentre)
            3 -> PublishedRecord.Unusable("servers/x", "state: unknown value", randomEndpoint().id)
            4 -> PublishedRecord.Table(sampleTable.copy(version = tableVersion()))
            else -> PublishedRecord.Endpoint(randomEndpoint())
        }
        return harness.feedChanges(record)
    }

    private fun tableVersion() = tableOf(random.nextLong(1, nextVersion + 1)).version

    private fun publishSnapshot(): List<Effect> = harness.feedSnapshot(
        tableOf(nextVersion++, *sampleTable.routes.toTypedArray()),
        List(random.nextInt(0, 8)) { randomEndpoint() }.distinctBy { it.id },
        maxOf(harness.state.published.position.revision.value + random.nextInt(-1, 3), 1)
    )

    private fun answerReservation(): List<Effect> {
        val id = checks.reserved.randomOrNull(random) ?: return emptyList()
        return harness.feed(
            if (random.nextInt(3) == 0) {
                ReservationEvent.Refused(id, "409")
            } else {
                ReservationEvent.Reserved(id)
            }
        )
    }

    private fun pause(): List<Effect> {
        if (random.nextInt(4) != 0) return emptyList()
        harness.pause(random.nextInt(1, 20).seconds)
        if (checks.drainedAt != null) checks.pausedInDrain = true
        return harness.readClock()
    }

    private fun stateSomething(): List<Effect> {
        val statement = if (random.nextInt(3) == 0) {
            EndpointStatement.Leaving
        } else {
            EndpointStatement.Pause(random.nextInt(100, 5_000).milliseconds)
        }
        val endpoint = randomEndpoint()
        return harness.feed(
            ForwardEvent.EndpointStated(endpoint.id, endpoint.startedAt, statement)
        )
    }

    private fun report(): List<Effect> = harness.feed(
        reportFrom(
            "10.0.0.${random.nextInt(2, 5)}",
            sequence = random.nextLong(1, 100),
            incarnation = "${random.nextInt(2)}",
            position = positionOf(random.nextLong(0, 50)),
            ready = random.nextBoolean(),
            loads = mapOf(EndpointId("m0") to EngineLoad(openRequests = random.nextInt(20)))
        )
    )

    private fun requestWithAttempt() = requests.entries.filter {
        !it.value.ended && it.value.openAttempt != null
    }.randomOrNull(random)
}
