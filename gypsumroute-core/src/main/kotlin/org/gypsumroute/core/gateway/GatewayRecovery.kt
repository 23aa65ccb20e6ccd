/*
 * What follows an event whose reduction failed at a gateway: its request ends, and reads of
 * published records and timers go on.
 */
package org.gypsumroute.core.gateway

import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Event
import org.gypsumroute.api.Failure
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.RequestHead
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.api.ReservationId
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.UNDECIDED
import org.gypsumroute.core.gateway.admission.onAdmission
import org.gypsumroute.core.gateway.admission.waitingRecords
import org.gypsumroute.core.gateway.attempts.RETRY_AFTER
import org.gypsumroute.core.gateway.attempts.closeRequest
import org.gypsumroute.core.gateway.attempts.endWithError
import org.gypsumroute.core.gateway.attempts.recordHolding
import org.gypsumroute.core.gateway.attempts.retryAfter
import org.gypsumroute.core.gateway.records.notePeerAnswer
import org.gypsumroute.core.gateway.records.reduceReadFailed
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.recoverCommon
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

internal fun recoverGateway(state: GatewayState, event: Event): Step<GatewayState> =
    recoverGatewayEvent(state, event).then { finishGatewayDrain(it) }

private fun recoverGatewayEvent(state: GatewayState, event: Event): Step<GatewayState> =
    when (event) {
        is ForwardEvent.Arrived -> refuseUndecided(state, event.request, event.head)

        is ForwardEvent.CallerLeft -> closeUnanswered(state, event.request)

        is ForwardEvent.AttemptEnded -> if (event.outcome is AttemptOutcome.Completed) {
            closeUnanswered(state, event.request)
        } else {
            endUndecided(state, event.request, event.outcome is AttemptOutcome.Broken)
        }

        is ForwardEvent.StreamBegun -> endUndecided(state, event.request, answerBegan = true)

        is ForwardEvent -> endUndecided(state, requestOf(event))

        is ReservationEvent ->
            endUndecided(state, reservationOf(event)?.let { recordHolding(state, it) }?.request)

        is PublishedEvent -> recoverRead(state, event)

        is RuntimeEvent.TimerFired -> {
            val timer = event.timer
            when (timer) {
                is TimerId.ForwardDeadline -> endUndecided(state, timer.request)
                is TimerId.AdmissionReview -> endAllWaiting(state)
                else -> state.onCommon { recoverCommon(it, event) }
            }
        }

        else -> state.onCommon { recoverCommon(it, event) }
    }

/** Ends the waiting requests, since a further review would fail like the one that failed. */
private fun endAllWaiting(state: GatewayState): Step<GatewayState> =
    state.onAdmission { copy(reviewAt = null) }.step()
        .thenEach(waitingRecords(state)) { next, record -> endUndecided(next, record.request) }

/** Refuses a request that was not accepted; nothing of it was sent anywhere. */
private fun refuseUndecided(
    state: GatewayState,
    request: RequestId,
    head: RequestHead
): Step<GatewayState> {
    val kind = ErrorKind.INTERNAL_ERROR
    return state.step(
        logEffect(
            LogEvent.REQUEST_REFUSED,
            "request" to head.callerRequestId,
            "kind" to kind.code,
            "detail" to UNDECIDED
        ),
        ForwardEffect.Refuse(request, Failure(kind, UNDECIDED, retryAfter = RETRY_AFTER)),
        countRefusal(kind.code)
    )
}

/**
 * Ends an open request. The event that failed may have been about work that ran; [answerBegan]
 * tells whether it was about an answer that the caller has a part of.
 */
private fun endUndecided(
    state: GatewayState,
    request: RequestId?,
    answerBegan: Boolean = false
): Step<GatewayState> {
    val record = request?.let { state.requests[it] } ?: return state.step()
    val ended = record.copy(
        mayHaveRun = record.mayHaveRun || record.openAttempts.isNotEmpty(),
        answerStarted = record.answerStarted || answerBegan
    )
    return endWithError(state, ended, ErrorKind.INTERNAL_ERROR, UNDECIDED)
}

/** Ends a request whose caller has its whole answer or left. */
private fun closeUnanswered(state: GatewayState, request: RequestId): Step<GatewayState> {
    val record = state.requests[request] ?: return state.step()
    return closeRequest(state, record, ErrorKind.INTERNAL_ERROR.code)
}

/** Reads again later, as after a read that failed. */
private fun recoverRead(state: GatewayState, event: PublishedEvent): Step<GatewayState> =
    if (event is PublishedEvent.OfStore) {
        val cause = "the records could not be applied"
        reduceReadFailed(
            state,
            PublishedEvent.ReadFailed(event.read, cause, repeatable = false)
        )
    } else {
        notePeerAnswer(state).step()
    }

private fun requestOf(event: ForwardEvent): RequestId? = when (event) {
    is ForwardEvent.AttemptStalled -> event.request
    is ForwardEvent.AttemptTookOver -> event.request
    else -> null
}

private fun reservationOf(event: ReservationEvent): ReservationId? = when (event) {
    is ReservationEvent.Reserved -> event.reservation
    is ReservationEvent.Refused -> event.reservation
    is ReservationEvent.Released -> null
}
