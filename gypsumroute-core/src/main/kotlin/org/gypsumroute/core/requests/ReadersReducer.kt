/*
 * Limits the memory for callers that read their answers more slowly than the engine generates them.
 *
 * The engine is never throttled. Answers are buffered in the entry until a limit is exceeded; then
 * the request whose answer has been stalled for the longest time fails.
 */
package org.gypsumroute.core.requests

import org.gypsumroute.api.Bytes
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Step
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.drain.DrainPhase
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

/** Fails stalled requests until the buffer limits that apply to [request] are met. */
internal fun enforceBufferLimits(state: EntryState, request: RequestId): Step<EntryState> {
    val organisation = state.buffers.held[request]?.organisation ?: return state.step()
    val budget = state.requests[request]?.let {
        state.common.documents.inForce(it.spec.service)?.limits?.answerBytesPerOrganisation
    }
    var step = state.step()
    while (true) {
        val stalled = longestStalled(step.state, organisation, budget) ?: return step
        step = step.then { failSlowReader(it, stalled) }
    }
}

private fun longestStalled(
    state: EntryState,
    organisation: OrganisationId,
    budget: Bytes?
): RequestRecord? {
    val buffers = state.buffers
    val organisationOver = budget != null && buffers.heldBy(organisation) > budget
    if (!organisationOver && buffers.total <= state.maxBufferedBytes) return null
    return buffers.held.entries
        .filter { (_, held) ->
            held.stalledSince != null && (!organisationOver || held.organisation == organisation)
        }
        .sortedBy { it.value.stalledSince }
        .firstNotNullOfOrNull { state.requests[it.key] }
}

private fun failSlowReader(state: EntryState, record: RequestRecord): Step<EntryState> {
    val log = logEffect(
        LogEvent.READER_STALLED,
        "request" to record.id,
        "held_bytes" to (state.buffers.held[record.id]?.answer ?: Bytes.ZERO)
    )
    return state.step(log)
        .then { fail(it, record, ErrorKind.READER_TOO_SLOW, "the answer was not read in time") }
}

/**
 * While draining, fails requests whose complete answer was not read by their deadline, so that slow
 * callers cannot delay the shutdown.
 */
internal fun failLateReaders(state: EntryState): Step<EntryState> {
    if (state.common.drain != DrainPhase.DRAINING) return state.step()
    val late = state.requests.values.filter {
        it.phase == RequestPhase.DELIVERING && it.deadline <= state.common.now
    }
    return state.step().thenEach(late) { next, record -> failSlowReader(next, record) }
}
