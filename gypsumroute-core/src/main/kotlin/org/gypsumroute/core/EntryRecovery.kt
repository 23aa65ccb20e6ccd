/*
 * What follows an event whose reduction failed at an entry: its request ends, and timers go on.
 * A lost message of an agent needs nothing, since requests, leases and connections have time limits
 * of their own.
 */
package org.gypsumroute.core

import org.gypsumroute.api.AnswerEvent
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Event
import org.gypsumroute.api.Failure
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.admission.refuse
import org.gypsumroute.core.drain.finishDrain
import org.gypsumroute.core.requests.endRequest
import org.gypsumroute.core.requests.failWith
import org.gypsumroute.core.requests.runStateOf

internal fun recoverEntry(state: EntryState, event: Event): Step<EntryState> =
    recoverEntryEvent(state, event).then { finishDrain(it) }

private fun recoverEntryEvent(state: EntryState, event: Event): Step<EntryState> = when (event) {
    is CallerEvent.Left -> forget(state, event.request)

    is CallerEvent.AnswerTaken -> forget(state, event.request)

    is CallerEvent.Opened -> failUndecided(state, event.request, isNew = true)

    is CallerEvent -> failUndecided(state, requestOf(event))

    is AnswerEvent -> failUndecided(state, requestOf(event))

    is RuntimeEvent.ClockRead -> recoverClock(state, event)

    is RuntimeEvent.TimerFired -> when (val timer = event.timer) {
        is TimerId.RequestDeadline -> failUndecided(state, timer.request)
        is TimerId.Attempt -> failUndecided(state, timer.request)
        else -> state.updateCommon { recoverCommon(it, event) }
    }

    else -> state.updateCommon { recoverCommon(it, event) }
}

/** Fails a request unless it failed before. [isNew] tells that it may not be known yet. */
private fun failUndecided(
    state: EntryState,
    request: RequestId,
    isNew: Boolean = false
): Step<EntryState> {
    val record = state.requests[request]
    val isAwaited = request in state.awaitingBody || isNew
    return when {
        request in state.failedRequests -> state.step()

        record != null -> {
            val runState = runStateOf(state, record)
            val kind = if (runState == RunState.NOT_RUN) {
                ErrorKind.INTERNAL_ERROR
            } else {
                ErrorKind.ENDPOINT_LOST
            }
            failWith(state, record, Failure(kind, UNDECIDED, runState))
        }

        isAwaited -> refuse(state, request, Failure(ErrorKind.INTERNAL_ERROR, UNDECIDED))

        else -> state.step()
    }
}

/** Ends what is left of a request whose caller has its answer or left. */
private fun forget(state: EntryState, request: RequestId): Step<EntryState> {
    val record = state.requests[request]
    val next = state.copy(
        awaitingBody = state.awaitingBody.remove(request),
        failedRequests = state.failedRequests.remove(request),
        buffers = state.buffers.remove(request)
    )
    val ended =
        if (record == null) next.step() else endRequest(next, record, ErrorKind.INTERNAL_ERROR.code)
    return ended.then { it.step(CallerEffect.Forget(request)) }
}

/** Fails the request with the earliest deadline if it is due, since its end may be what failed. */
private fun recoverClock(state: EntryState, event: RuntimeEvent.ClockRead): Step<EntryState> =
    state.updateCommon { recoverCommon(it, event) }.then { next ->
        val due = next.deadlines.earliest
        val record = next.deadlines.first?.let { next.requests[it] }
        val remaining = next.copy(deadlines = next.deadlines.withoutFirst())
        when {
            due == null || due > next.common.now -> next.step()
            record == null -> remaining.step()
            else -> failUndecided(remaining, record.id)
        }
    }

private fun requestOf(event: CallerEvent): RequestId = when (event) {
    is CallerEvent.Opened -> event.request
    is CallerEvent.GenerationArrived -> event.request
    is CallerEvent.CallArrived -> event.request
    is CallerEvent.ActionKeyWanted -> event.request
    is CallerEvent.Rejected -> event.request
    is CallerEvent.Left -> event.request
    is CallerEvent.AnswerTaken -> event.request
}

private fun requestOf(event: AnswerEvent): RequestId = when (event) {
    is AnswerEvent.FirstToken -> event.request
    is AnswerEvent.Progress -> event.request
    is AnswerEvent.Completed -> event.request
}
