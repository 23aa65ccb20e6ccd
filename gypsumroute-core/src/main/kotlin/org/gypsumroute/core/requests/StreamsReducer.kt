/*
 * Handles the answers that are streamed to callers, and the connections to the endpoints that
 * generate them.
 */
package org.gypsumroute.core.requests

import kotlin.time.DurationUnit
import org.gypsumroute.api.AnswerEvent
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Metric
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.WorkKind
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.leases.LeaseRecord
import org.gypsumroute.core.leases.LeaseStage
import org.gypsumroute.core.leases.dispatchEffects
import org.gypsumroute.core.leases.reduceLeaseLost
import org.gypsumroute.core.map
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

internal fun reduceAnswer(state: EntryState, event: AnswerEvent): Step<EntryState> = when (event) {
    is AnswerEvent.FirstToken -> ifRunning(state, event.request, event.lease) { record ->
        recordAnswerStart(state, record, event.lease)
    }

    is AnswerEvent.Progress -> reduceProgress(state, event)

    is AnswerEvent.Completed -> ifRunning(state, event.request, event.lease) { record ->
        recordAnswerStart(state, record, event.lease).then { complete(it, event) }
    }
}

private inline fun ifRunning(
    state: EntryState,
    request: RequestId,
    lease: LeaseId,
    next: (RequestRecord) -> Step<EntryState>
): Step<EntryState> {
    val record = state.requests[request]
    return if (record == null || record.runningLease != lease) state.step() else next(record)
}

private fun recordAnswerStart(
    state: EntryState,
    record: RequestRecord,
    id: LeaseId
): Step<EntryState> {
    val lease = state.leases[id] ?: return state.step()
    if (lease.hasOutput) return state.step()
    val next = state.withLease(lease.copy(hasOutput = true))
        .withRequest(record.copy(answerBegan = true))
    if (record.answerBegan || lease.kind != WorkKind.GENERATION) return next.step()
    val elapsed = (state.common.now - record.arrivedAt).toDouble(DurationUnit.SECONDS)
    return next.step(RuntimeEffect.Observe(Metric.FIRST_TOKEN, labelsOf(record), elapsed))
}

private fun reduceProgress(state: EntryState, event: AnswerEvent.Progress): Step<EntryState> {
    val record = state.requests[event.request] ?: return state.step()
    val held = state.copy(
        buffers = state.buffers.withAnswer(event.request, event.heldBytes, state.common.now)
    )
    if (record.runningLease != event.lease) return enforceBufferLimits(held, event.request)
    val delivered = maxOf(record.deliveredTokens, record.deliveredByEarlierLeases + event.tokens)
    return recordAnswerStart(held, record, event.lease)
        .map { next ->
            next.requests[record.id]?.let { next.withRequest(it.copy(deliveredTokens = delivered)) }
                ?: next
        }
        .then { enforceBufferLimits(it, event.request) }
}

/** Releases the leases of a request whose complete answer is in the entry's buffer. */
private fun complete(state: EntryState, event: AnswerEvent.Completed): Step<EntryState> {
    val record = state.requests[event.request] ?: return state.step()
    val held = state.buffers.held[event.request]?.copy(body = Bytes.ZERO)
    val buffers = if (held == null) state.buffers else state.buffers.put(event.request, held)
    val delivering = record.copy(
        phase = RequestPhase.DELIVERING,
        runningLease = null,
        group = null,
        deliveredTokens = record.deliveredByEarlierLeases + event.tokens
    )
    val next = state.withRequest(delivering).copy(
        buffers = buffers.withAnswer(event.request, event.heldBytes, state.common.now)
    )
    return next.step(RuntimeEffect.CancelTimer(TimerId.RequestDeadline(record.id)))
        .thenEach(record.leases) { reached, lease -> releaseLease(reached, lease) }
        .then { enforceBufferLimits(it, event.request) }
}

/**
 * Handles a new connection to an endpoint: resumes the leases dispatched there. Leases of an
 * earlier incarnation, and requests for a grant that the endpoint may not have received, count as
 * lost.
 */
internal fun reduceEndpointConnected(
    state: EntryState,
    event: PeerEvent.Connected
): Step<EntryState> = state.step().thenEach(leasesAt(state, event.peer)) { next, id ->
    val lease = next.leases[id]
    when {
        lease == null -> next.step()

        lease.incarnation != event.incarnation || lease.stage == LeaseStage.ASKED ->
            reduceLeaseLost(next, lease)

        lease.stage == LeaseStage.GRANTED -> next.step()

        else -> resumeLease(next, lease, event.connection)
    }
}

private fun resumeLease(
    state: EntryState,
    lease: LeaseRecord,
    connection: ConnectionId
): Step<EntryState> {
    val record = state.requests[lease.request] ?: return state.step()
    val repeated = dispatchEffects(state, record, lease)
    val sent = if (lease.hasOutput) repeated.filterNot { it is CallerEffect.Upload } else repeated
    val resumption = CallerEffect.ResumeAnswer(record.id, lease.lease, connection)
        .takeIf { lease.kind != WorkKind.SEGMENT }
    return Step(state, sent + listOfNotNull(resumption))
}

/**
 * Handles a closed connection: leases without a grant are requested elsewhere, and granted or
 * dispatched ones wait for a new connection.
 */
internal fun reduceEndpointDisconnected(
    state: EntryState,
    previous: EntryState,
    event: PeerEvent.Disconnected
): Step<EntryState> {
    val closed = event.connection != null &&
        previous.common.peers[event.peer]?.connection == event.connection
    if (!closed) return state.step()
    return state.step().thenEach(leasesAt(state, event.peer)) { next, id ->
        val lease = next.leases[id]
        if (lease?.stage == LeaseStage.ASKED) reduceLeaseLost(next, lease) else next.step()
    }
}

/** Moves the work away from a peer that is still silent when the time to resume has passed. */
internal fun reduceSilenceTimer(state: EntryState, peer: HostId): Step<EntryState> {
    val link = state.common.peers[peer]
    val silence = state.common.now - (link?.silentSince ?: state.common.now)
    val left = state.common.timings.resumeTime - silence
    return when {
        link == null -> reduceAllLeasesLost(state, peer)
        link.silentSince == null -> state.step()
        !left.isPositive() -> reduceAllLeasesLost(state, peer)
        else -> state.step(RuntimeEffect.SetTimer(TimerId.PeerSilence(peer), left))
    }
}

private fun reduceAllLeasesLost(state: EntryState, peer: HostId): Step<EntryState> =
    state.step().thenEach(leasesAt(state, peer)) { next, id ->
        next.leases[id]?.let { reduceLeaseLost(next, it) } ?: next.step()
    }

private fun leasesAt(state: EntryState, host: HostId): List<LeaseId> =
    state.leasesByHost[host]?.toList().orEmpty()
