package org.gypsumroute.core.gateway

import kotlin.test.assertTrue
import kotlin.test.fail
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptId
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.Moment
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ReservationEffect
import org.gypsumroute.api.ReservationId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.core.gateway.endpoints.isLeaving
import org.gypsumroute.core.gateway.endpoints.pausedUntil

/** What callers and endpoints observe of a request. */
internal class ModelRequest(val repetition: Repetition, val maxSends: Int) {
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

/** A model of a gateway's requests, and the invariants that its effects have to keep. */
internal class GatewayRunChecks(private val seed: Int, private val harness: GatewayHarness) {
    /** All requests that arrived, in order. */
    val requests = LinkedHashMap<RequestId, ModelRequest>()
    val reserved = HashSet<ReservationId>()
    val arrivals = ArrayList<Moment>()
    private val retries = ArrayList<Moment>()
    private val coldSends = HashMap<EndpointId, ArrayList<Moment>>()

    /** When the planned stop began, or null before. */
    var drainedAt: Moment? = null
    var pausedInDrain = false
    private var exits = 0

    /** Checks what has to hold after the deadlines of all requests. */
    fun verifyEnd() {
        check(harness.state.requests.isEmpty(), "requests are open after their deadline")
        check(requests.values.all { it.ended }, "a request has not ended")
        check(reserved.isEmpty(), "memory stays reserved: $reserved")
        check(harness.state.endpoints.values.all { it.work.isEmpty() }, "endpoints still have work")
        check(exits == if (drainedAt == null) 0 else 1, "$exits exits")
    }

    /** Checks the effects of one event. */
    fun verifyEffects(effects: List<Effect>) {
        for (effect in effects) {
            when (effect) {
                is ForwardEffect.Send -> verifySend(effect)

                is ForwardEffect.Abandon -> noteAbandoned(effect)

                is ForwardEffect.Refuse -> verifyRefusal(effect)

                is ForwardEffect.Cut -> verifyEnding(effect.request) {
                    check(it.answerStarted, "an answer that had not started was cut")
                }

                is ForwardEffect.RelayFailure -> verifyEnding(effect.request) {
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

    /** A stalled attempt counts as the open one again if its replacement ended. */
    private fun restoreStalled() {
        for (request in requests.values.filter { it.openAttempt == null }) {
            request.openAttempt = request.stalledAttempt
            request.stalledAttempt = null
        }
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

    /** Whether a planned stop refuses new requests by now. */
    fun acceptTimeIsOver(): Boolean = drainedAt?.let { harness.now >= it + ACCEPT_TIME } ?: false

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

    private fun verifyRefusal(effect: ForwardEffect.Refuse) = verifyEnding(effect.request) {
        check(!it.answerStarted, "refused after the answer started")
        val notRun = effect.failure.runState == RunState.NOT_RUN
        check(!notRun || !it.mayHaveRun, "refused as not run though it may have run")
        val status = effect.failure.kind.httpStatus
        check(
            !it.mayHaveRun || status !in STATUSES_OF_NOT_RUN,
            "answered $status though it may have run"
        )
    }

    private fun verifyEnding(id: RequestId, verify: (ModelRequest) -> Unit) {
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
