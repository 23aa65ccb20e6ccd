/*
 * Attempts that are silent for longer than their limit.
 *
 * Silence may mean that the endpoint is dead, or only that it is slow. Where the request may run
 * again and another endpoint can take it, it is sent there. An answer of which the caller has seen
 * a part stays open meanwhile, and goes on at the endpoint that delivers the next part first. In
 * all other cases the attempt goes on until its endpoint ends it or the time of the request is
 * over.
 */
package org.gypsumroute.core.gateway.attempts

import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.countStall
import org.gypsumroute.core.gateway.placement.ForwardChoice
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

internal fun reduceAttemptStalled(
    state: GatewayState,
    event: ForwardEvent.AttemptStalled
): Step<GatewayState> {
    val record = state.requests[event.request] ?: return state.step()
    val attempt = record.attempt?.takeIf { it.id == event.attempt } ?: return state.step()
    val judged = afterStall(state, attempt)
    val stalled = record.copy(mayHaveRun = true)
    val choice = if (record.stalledAttempt == null && mayRetry(judged, stalled)) {
        judged.policies.placement(placementInputFor(judged, stalled))
    } else {
        null
    }
    val staysOpen = record.answerStarted && record.reservations.isEmpty() &&
        choice?.reservations.orEmpty().isEmpty()
    val log = stallLog(judged, record, attempt, choice)
    return when {
        choice == null -> judged.step(log)

        staysOpen -> reserveOrSend(
            judged,
            stalled.copy(attempt = null, stalledAttempt = attempt),
            choice
        ).then { it.step(log) }

        else -> judged.step(log, countStall(record))
            .then { abandonAttempt(it, record, attempt) }
            .then { releaseReservations(it, record) }
            .then { next ->
                val moved = stalled.copy(
                    attempt = null,
                    reservations = record.reservations.clear()
                )
                reserveOrSend(next, moved, choice)
            }
    }
}

/** One of two open attempts delivered a part of the answer first; the other one was stopped. */
internal fun reduceAttemptTookOver(
    state: GatewayState,
    event: ForwardEvent.AttemptTookOver
): Step<GatewayState> {
    val record = state.requests[event.request] ?: return state.step()
    val winner = record.openAttempts.find { it.id == event.attempt } ?: return state.step()
    val stopped = record.openAttempts - winner
    val next = record.copy(attempt = winner, stalledAttempt = null)
    return state.copy(requests = state.requests.put(record.request, next)).step()
        .thenEach(stopped) { current, attempt -> releaseWork(current, record, attempt).step() }
}

/** Waits for the stalled attempt again, because no other endpoint can resume its stream. */
internal fun continueStalled(state: GatewayState, record: ForwardRecord): Step<GatewayState> {
    val continued = record.copy(attempt = record.stalledAttempt, stalledAttempt = null)
    return state.copy(requests = state.requests.put(record.request, continued)).step()
}

private fun afterStall(state: GatewayState, attempt: Attempt): GatewayState {
    val endpoint = state.endpoints[attempt.endpoint] ?: return state
    val health = endpoint.health.afterLostAnswer(state.common.now)
    return state.copy(
        endpoints = state.endpoints.put(attempt.endpoint, endpoint.copy(health = health))
    )
}

private fun stallLog(
    state: GatewayState,
    record: ForwardRecord,
    attempt: Attempt,
    choice: ForwardChoice?
) = logEffect(
    LogEvent.ATTEMPT_STALLED,
    "request" to record.head.callerRequestId,
    "attempt" to record.sendCount,
    "endpoint" to attempt.endpoint,
    "begun" to record.answerStarted,
    "next_endpoint" to choice?.endpoint,
    "remaining" to (record.deadline - state.common.now)
)
