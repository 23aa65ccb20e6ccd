/*
 * Feeds random events to a gateway and checks its invariants after each: published records that
 * appear, disappear and contradict each other, a store that fails, pauses of the process, reports
 * of other gateways, and attempts that end in every possible way, also late.
 */
package org.gypsumroute.core.gateway

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.test.fail
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
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.Moment
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ReservationEffect
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.api.ReservationId
import org.gypsumroute.api.Revision
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.core.FailingReducer
import org.gypsumroute.core.reduce

class GatewayPropertyTest {
    @Test
    fun `all invariants hold after any sequence of events`() {
        repeat(SEEDS) { seed -> RandomGatewayRun(seed).run(STEPS) }
    }

    /** Requests that were open at the end of a planned stop had no answer, or a part of one. */
    @Test
    fun `a planned stop at any moment ends each request once, and all before the exit`() {
        repeat(SEEDS) { seed ->
            val drainStep = Random(seed).nextInt(STEPS)
            RandomGatewayRun(seed, drainStep).run(STEPS)
        }
    }

    /** Guards against requests that nobody answers because the reducer failed on an event. */
    @Test
    fun `a request ends once and returns its memory if the reducer fails on any events`() {
        repeat(SEEDS) { seed ->
            RandomGatewayRun(
                seed,
                failures = FailingReducer(seed.toLong(), FAILURE_SHARE)
            ).run(STEPS)
        }
    }

    private companion object {
        const val FAILURE_SHARE = 0.05
        const val SEEDS = 300
        const val STEPS = 400
    }
}

/** One random sequence of events, and a model of what callers and endpoints observe of it. */
private class RandomGatewayRun(
    private val seed: Int,
    private val drainStep: Int? = null,
    failures: FailingReducer? = null
) {
    private class ModelRequest(val repetition: Repetition, val maxSends: Int) {
        var sends = 0
        var mayHaveRun = false
        var answerStarted = false
        var openAttempt: AttemptId? = null
        var stalledAttempt: AttemptId? = null
        var reportedAsStalled: AttemptId? = null
        var ended = false
        var deadline: Moment? = null
        var cameAfterRefusal = false
    }

    private val random = Random(seed)
    private val harness = GatewayHarness(reducer = failures ?: ::reduce)
    private val requests = LinkedHashMap<RequestId, ModelRequest>()
    private val reserved = HashSet<ReservationId>()
    private val retries = ArrayList<Moment>()
    private val arrivals = ArrayList<Moment>()
    private val coldSends = HashMap<EndpointId, ArrayList<Moment>>()
    private var nextRequest = 0
    private var nextVersion = 1L
    private var drainedAt: Moment? = null
    private var pausedInDrain = false
    private var exits = 0

    fun run(steps: Int) {
        verifyEffects(harness.feed(RuntimeEvent.Started))
        repeat(steps) { step ->
            if (step == drainStep) startDrain()
            verifyEffects(randomEvent())
            if (random.nextInt(3) == 0) {
                verifyEffects(harness.advance(random.nextInt(0, 400).milliseconds))
            }
        }
        verifyEffects(harness.advance(60.seconds))
        check(harness.state.requests.isEmpty(), "requests are open after their deadline")
        check(requests.values.all { it.ended }, "a request has not ended")
        check(reserved.isEmpty(), "memory stays reserved: $reserved")
        check(harness.state.endpoints.values.all { it.work.isEmpty() }, "endpoints still have work")
        check(exits == if (drainStep == null) 0 else 1, "$exits exits")
    }

    private fun startDrain() {
        drainedAt = harness.now
        verifyEffects(harness.feed(RuntimeEvent.DrainRequested))
    }

    private fun randomEvent(): List<Effect> = when (random.nextInt(24)) {
        in 0..6 -> arrive()

        in 7..10 -> endAttempt()

        11 -> beginStream()

        12 -> leaveCaller()

        13 -> changeEndpoint()

        14 -> publishSnapshot()

        15 -> harness.feed(PublishedEvent.ReadFailed(null, "503"))

        16 -> if (random.nextBoolean()) {
            harness.feed(
                PublishedEvent.HistoryLost
            )
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
        if (route != null) arrivals += harness.now
        val prompt = listOf(100L, 5_000L, 210_000L, 900_000L).random(random)
        val head = headOf(path, prompt = prompt, deadline = random.nextInt(1, 12_000).milliseconds)
        return harness.arrive(id.value, head).also {
            requests.getValue(id).deadline = harness.state.requests[id]?.deadline
            requests.getValue(id).cameAfterRefusal = acceptTimeIsOver()
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
            3 -> PublishedRecord.Unusable("servers/x", "state: unknown value")
            4 -> PublishedRecord.Table(sampleTable.copy(version = tableVersion()))
            else -> PublishedRecord.Endpoint(randomEndpoint())
        }
        return harness.feedChanges(record)
    }

    private fun tableVersion() = tableOf(random.nextLong(1, nextVersion + 1)).version

    private fun publishSnapshot(): List<Effect> = harness.feedSnapshot(
        tableOf(nextVersion++, *sampleTable.routes.toTypedArray()),
        List(random.nextInt(0, 8)) { randomEndpoint() }.distinctBy { it.id },
        maxOf(harness.state.published.revision.value + random.nextInt(-1, 3), 1)
    )

    private fun answerReservation(): List<Effect> {
        val id = reserved.randomOrNull(random) ?: return emptyList()
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
        if (drainedAt != null) pausedInDrain = true
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
            revision = Revision(random.nextLong(0, 50)),
            ready = random.nextBoolean(),
            loads = mapOf(EndpointId("m0") to EngineLoad(openRequests = random.nextInt(20)))
        )
    )

    /** A stalled attempt counts as the open one again if its replacement ended. */
    private fun restoreStalled() {
        for (request in requests.values.filter { it.openAttempt == null }) {
            request.openAttempt = request.stalledAttempt
            request.stalledAttempt = null
        }
    }

    private fun requestWithAttempt() = requests.entries.filter {
        !it.value.ended && it.value.openAttempt != null
    }.randomOrNull(random)

    private fun verifyEffects(effects: List<Effect>) {
        for (effect in effects) {
            when (effect) {
                is ForwardEffect.Send -> verifySend(effect)

                is ForwardEffect.Abandon -> noteAbandoned(effect)

                is ForwardEffect.Refuse -> verifyRefusal(effect)

                is ForwardEffect.Cut -> verifyEnd(effect.request) {
                    check(it.answerStarted, "an answer that had not started was cut")
                }

                is ForwardEffect.RelayFailure -> verifyEnd(effect.request) {
                    check(!it.answerStarted, "a failure was passed on after the answer started")
                }

                is ReservationEffect.Reserve -> reserved += effect.reservation

                is ReservationEffect.Release -> reserved -= effect.reservation

                is RuntimeEffect.Exit -> verifyExit()

                else -> Unit
            }
        }
        restoreStalled()
    }

    private fun verifySend(effect: ForwardEffect.Send) {
        val request = requests.getValue(effect.request)
        check(!request.ended, "sent after the request ended")
        request.openAttempt?.let { open ->
            check(
                request.answerStarted && request.reportedAsStalled == open &&
                    request.stalledAttempt == null,
                "sent to two endpoints at the same time"
            )
            request.stalledAttempt = open
            request.mayHaveRun = true
        }
        verifySendInDrain(request)
        val mayRunAgain = request.repetition != Repetition.AT_MOST_ONCE
        check(mayRunAgain || !request.mayHaveRun, "sent again though it may have run")
        check(
            !request.answerStarted || request.repetition == Repetition.RESUMABLE,
            "sent again after the answer started"
        )
        if (request.sends > 0) {
            retries += harness.now
            checkRetryBudget()
        }
        request.sends++
        check(request.sends <= request.maxSends, "sent to ${request.sends} of ${request.maxSends}")
        request.openAttempt = effect.attempt
        checkEndpoint(effect.target.endpoint)
    }

    /** An attempt that starts late in a planned stop has to be over before its end. */
    private fun verifySendInDrain(request: ModelRequest) {
        if (!acceptTimeIsOver()) return
        check(!request.cameAfterRefusal, "accepted after the refusal of new requests began")
        val drainEnd = drainedAt!! + sampleBounds.drainTime
        check(
            request.answerStarted || request.deadline!! <= drainEnd,
            "sent late in a planned stop, with time beyond its end"
        )
    }

    private fun acceptTimeIsOver(): Boolean =
        drainedAt?.let { harness.now >= it + ACCEPT_TIME } ?: false

    private fun verifyExit() {
        exits++
        check(requests.values.all { it.ended }, "open at the exit")
        val exitedAt = harness.exitedAt!!
        check(
            pausedInDrain ||
                exitedAt <= drainedAt!! + (sampleBounds.drainTime - LAST_ANSWERS_TIME),
            "exit only ${exitedAt - drainedAt!!} after the start of the stop"
        )
    }

    private fun checkEndpoint(id: EndpointId) {
        val endpoint = harness.state.endpoints[id] ?: fail("seed $seed: sent to a removed endpoint")
        val record = endpoint.record
        check(!isLeaving(harness.state, endpoint), "sent to a leaving endpoint")
        check(
            harness.now >= pausedUntil(harness.state, endpoint),
            "sent to an endpoint that asked for a pause"
        )
        check(
            record.dataCentre !in harness.state.published.dataCentresOut,
            "sent to a data centre taken out"
        )
        check(!endpoint.misdirected, "sent to an address of another endpoint")
        if (harness.now < endpoint.coldUntil && record.service == modelService) {
            val sends = coldSends.getOrPut(id) { ArrayList() }
            sends += harness.now
            // The published rate, with the tolerance that the platform's own check allows.
            val recent = sends.count { harness.now - it < 1.seconds }
            check(recent <= COLD_RATE * COLD_FACTOR + COLD_SLACK, "$recent sends to a cold engine")
        }
    }

    private fun checkRetryBudget() {
        val bounds = sampleBounds
        val recent = retries.count { harness.now - it <= bounds.retryWindow }
        val recentArrivals = arrivals.count { harness.now - it <= bounds.retryWindow * 2 }
        val maxRetries = bounds.retryRatio * recentArrivals + bounds.retryAllowance
        check(recent <= maxRetries + 1, "$recent retries of at most $maxRetries")
    }

    private fun noteAbandoned(effect: ForwardEffect.Abandon) {
        val request = requests.getValue(effect.request)
        if (request.openAttempt == effect.attempt) request.openAttempt = null
        if (request.stalledAttempt == effect.attempt) request.stalledAttempt = null
        request.mayHaveRun = true
    }

    private fun verifyRefusal(effect: ForwardEffect.Refuse) = verifyEnd(effect.request) {
        check(!it.answerStarted, "refused after the answer started")
        val notRun = effect.failure.runState == RunState.NOT_RUN
        check(!notRun || !it.mayHaveRun, "refused as not run though it may have run")
        val status = effect.failure.kind.httpStatus
        check(
            !it.mayHaveRun || status !in STATUSES_OF_NOT_RUN,
            "answered $status though it may have run"
        )
    }

    private fun verifyEnd(id: RequestId, verify: (ModelRequest) -> Unit) {
        val request = requests.getValue(id)
        check(!request.ended, "ended twice")
        check(
            request.openAttempt == null && request.stalledAttempt == null,
            "ended while an attempt is open"
        )
        verify(request)
        request.ended = true
    }

    private fun check(holds: Boolean, violation: String) =
        assertTrue(holds, "seed $seed at ${harness.now}: $violation")

    private companion object {
        /** Time after SIGTERM in which new requests are accepted. */
        val ACCEPT_TIME = 2500.milliseconds

        /** Time that the last answers of a planned stop have to be written. */
        val LAST_ANSWERS_TIME = 300.milliseconds
        val STATUSES_OF_NOT_RUN = setOf(408, 421, 429, 503)
        const val COLD_RATE = 26
        const val COLD_FACTOR = 1.5
        const val COLD_SLACK = 5
    }
}
