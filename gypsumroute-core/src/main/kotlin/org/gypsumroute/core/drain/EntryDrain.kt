/*
 * The planned stop of an entry: it ends when its last request has ended. Requests that are still
 * open shortly before the drain limit fail, so that their callers get an answer that says whether
 * the work ran.
 */
package org.gypsumroute.core.drain

import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.WorkKind
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.admission.refuseAwaitedBodies
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.requests.RequestPhase
import org.gypsumroute.core.requests.RequestRecord
import org.gypsumroute.core.requests.fail
import org.gypsumroute.core.requests.runStateOf
import org.gypsumroute.core.step
import org.gypsumroute.core.thenEach

/** Sets the timer for the end of a drain that the current event began. */
internal fun limitDrain(state: EntryState, previous: EntryState): Step<EntryState> {
    if (previous.common.drain != DrainPhase.SERVING) return state.step()
    val reserve = minOf(FINAL_ANSWERS_RESERVE, state.drainLimit / MIN_DRAIN_PARTS)
    return state.step(RuntimeEffect.SetTimer(TimerId.DrainLimit, state.drainLimit - reserve))
}

/**
 * Fails all requests whose answer is incomplete, also those whose body is still arriving; complete
 * answers are still delivered.
 */
internal fun failOpenRequests(state: EntryState): Step<EntryState> {
    val open = state.requests.values.filter { it.phase != RequestPhase.DELIVERING }
    val refused = refuseAwaitedBodies(state.copy(drainLimitReached = true))
    return refused.thenEach(open) { next, record ->
        fail(next, record, stopKind(next, record), "the entry stops")
    }
}

private fun stopKind(state: EntryState, record: RequestRecord): ErrorKind = when {
    runStateOf(state, record) == RunState.NOT_RUN -> ErrorKind.DRAINING
    record.spec.kind == WorkKind.ACTION -> ErrorKind.ACTION_OUTCOME_UNKNOWN
    else -> ErrorKind.ENDPOINT_LOST
}

/** Ends a draining entry once it has no requests. */
internal fun finishDrain(state: EntryState): Step<EntryState> {
    val idle =
        state.awaitingBody.isEmpty() && state.requests.isEmpty() && state.failedRequests.isEmpty()
    if (state.common.drain != DrainPhase.DRAINING || !idle) return state.step()
    val exitCode = if (state.drainLimitReached) EXIT_LIMIT_REACHED else 0
    return state.copy(common = state.common.copy(drain = DrainPhase.FINISHED))
        .step(logEffect(LogEvent.DRAIN_FINISHED), RuntimeEffect.Exit(exitCode))
}

/** Part of the drain limit that is kept for the answers to requests that it ends. */
private val FINAL_ANSWERS_RESERVE = 2.seconds

/** The reserve is at most this part of a short drain limit. */
private const val MIN_DRAIN_PARTS = 4

private const val EXIT_LIMIT_REACHED = 1
