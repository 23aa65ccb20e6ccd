/*
 * Reviews of waiting requests: at times that the admission policy sets, and when an attempt ends.
 *
 * A review first asks the policy with the latest choice and the backlogs known here. Only if the
 * request would not wait any longer is a new placement made, which costs much more time.
 */
package org.gypsumroute.core.gateway.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.ForwardRecord
import org.gypsumroute.core.gateway.attempts.endWithError
import org.gypsumroute.core.gateway.attempts.placementInputFor
import org.gypsumroute.core.gateway.crashes.endBlocked
import org.gypsumroute.core.gateway.crashes.findBlockedPart
import org.gypsumroute.core.gateway.refusesNew
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

/**
 * Reviews the request that is to be sent first, and those whose time has come: of these first the
 * ones that have to start soonest, since an event reviews only a few. A gateway that stops sends
 * none; its stop refuses them.
 */
internal fun reviewWaiting(state: GatewayState): Step<GatewayState> {
    val cleared = state.onAdmission { copy(reviewAt = null) }
    if (refusesNew(state)) return cleared.step()
    val now = state.common.now
    val first = waitingInOrder(cleared).take(1)
    val due = waitingRecords(cleared)
        .filter { record -> record.wait?.reviewAt.let { it != null && it <= now } }
        .sortedBy { it.wait?.latestStart }
    val rooms = HashMap<ServiceId, ServiceRoom?>()
    return cleared.step()
        .thenEach((first + due).distinct().take(MAX_REVIEWS)) { next, record ->
            val room = rooms.getOrPut(record.service) { knownRoom(next, record.service) }
            review(next, record, room)
        }
        .then { setNextReview(it) }
}

/**
 * Has the waiting requests reviewed at once after work of their service has ended. The review is an
 * event of its own, so that its failure does not undo the end of the work.
 */
internal fun reviewSoon(state: GatewayState, service: ServiceId): Step<GatewayState> {
    val waits = waitingRecords(state).any { it.service == service }
    return if (waits) setReview(state, Duration.ZERO) else state.step()
}

private fun review(
    state: GatewayState,
    record: ForwardRecord,
    room: ServiceRoom?
): Step<GatewayState> {
    val wait = state.requests[record.request]?.wait ?: return state.step()
    if (room != null) {
        val input = admissionInput(state, record, wait.choice, room)
        val decision = state.policies.admission(input)
        if (decision is AdmissionDecision.Wait) return postpone(state, record, decision.reviewAfter)
    }
    return placeWaiting(state, record)
}

private fun postpone(
    state: GatewayState,
    record: ForwardRecord,
    reviewAfter: Duration
): Step<GatewayState> {
    val wait = record.wait?.copy(reviewAt = state.common.now + reviewAfter)
    val postponed = record.copy(wait = wait)
    return state.copy(requests = state.requests.put(record.request, postponed)).step()
}

private fun placeWaiting(state: GatewayState, record: ForwardRecord): Step<GatewayState> {
    val blocked = findBlockedPart(state, record)
    if (blocked != null) return endBlocked(state, record, blocked)
    val input = placementInputFor(state, record)
    val choice = state.policies.placement(input)
    return when {
        choice != null -> decideAgain(state, record, input, choice)

        input.candidates.isNotEmpty() && mayWaitForMemory(state, record) ->
            postpone(state, record, MEMORY_REVIEW_INTERVAL)

        else -> endWithError(state, record, ErrorKind.NO_ENDPOINT, NO_ENDPOINT_DETAIL)
    }
}

/** Whether the request could still be answered if engines free their memory a little later. */
private fun mayWaitForMemory(state: GatewayState, record: ForwardRecord): Boolean {
    val predicted = record.wait?.choice?.predictedFirstByte ?: return false
    return record.deadline - state.common.now > predicted + MEMORY_REVIEW_INTERVAL
}

/** Sets the timer for the earliest review of a waiting request. */
private fun setNextReview(state: GatewayState): Step<GatewayState> {
    val earliest = waitingRecords(state).mapNotNull { it.wait?.reviewAt }.minOrNull()
        ?: return state.step()
    return setReview(state, (earliest - state.common.now).coerceAtLeast(OVERDUE_REVIEW_DELAY))
}

/** Bounds the time of one event; the other requests are reviewed a little later. */
private const val MAX_REVIEWS = 4
private const val NO_ENDPOINT_DETAIL = "no endpoint may take the request"

/** A long placement precedes each of these reviews. */
private val MEMORY_REVIEW_INTERVAL: Duration = 100.milliseconds

/** Lets other events come between the reviews of many requests. */
private val OVERDUE_REVIEW_DELAY: Duration = 5.milliseconds
