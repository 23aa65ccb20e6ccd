/*
 * Answers on their way to callers, and the connections that carry them.
 */
package org.gypsumroute.core

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

internal fun reduceAnswer(state: EntryState, event: AnswerEvent): Step<EntryState> = when (event) {
    is AnswerEvent.FirstToken -> running(state, event.request, event.lease) { record ->
        noteAnswer(state, record, event.lease)
    }

    is AnswerEvent.Progress -> reduceProgress(state, event)

    is AnswerEvent.Completed -> running(state, event.request, event.lease) { record ->
        noteAnswer(state, record, event.lease).then { complete(it, event) }
    }
}

private inline fun running(
    state: EntryState,
    request: RequestId,
    lease: LeaseId,
    next: (RequestRecord) -> Step<EntryState>
): Step<EntryState> {
    val record = state.requests[request]
    return if (record == null || record.running != lease) state.step() else next(record)
}

private fun noteAnswer(state: EntryState, record: RequestRecord, id: LeaseId): Step<EntryState> {
    val lease = state.leases[id] ?: return state.step()
    if (lease.answerStarted) return state.step()
    val next = state.withLease(lease.copy(answerStarted = true))
        .withRequest(record.copy(answerBegan = true))
    if (record.answerBegan || lease.kind != WorkKind.GENERATION) return next.step()
    val elapsed = (state.common.now - record.arrivedAt).toDouble(DurationUnit.SECONDS)
    return next.step(RuntimeEffect.Observe(Metric.FIRST_TOKEN, labelsOf(record), elapsed))
}

private fun reduceProgress(state: EntryState, event: AnswerEvent.Progress): Step<EntryState> {
    val record = state.requests[event.request] ?: return state.step()
    val held = state.copy(
        buffers = state.buffers.atMark(event.request, event.heldBytes, state.common.now)
    )
    if (record.running != event.lease) return limitReaders(held, event.request)
    val delivered = maxOf(record.delivered, record.deliveredBefore + event.tokens)
    return noteAnswer(held, record, event.lease)
        .map { next ->
            next.requests[record.id]?.let { next.withRequest(it.copy(delivered = delivered)) }
                ?: next
        }
        .then { limitReaders(it, event.request) }
}

/** The whole answer is in the entry's buffer: the leases go back, the caller reads on. */
private fun complete(state: EntryState, event: AnswerEvent.Completed): Step<EntryState> {
    val record = state.requests[event.request] ?: return state.step()
    val held = state.buffers.held[event.request]?.copy(body = Bytes.ZERO)
    val buffers = if (held == null) state.buffers else state.buffers.put(event.request, held)
    val delivering = record.copy(
        phase = RequestPhase.DELIVERING,
        running = null,
        group = null,
        delivered = record.deliveredBefore + event.tokens
    )
    val next = state.withRequest(delivering).copy(
        buffers = buffers.atMark(event.request, event.heldBytes, state.common.now)
    )
    return next.step(RuntimeEffect.CancelTimer(TimerId.RequestDeadline(record.id)))
        .thenEach(record.leases) { reached, lease -> releaseLease(reached, lease) }
        .then { limitReaders(it, event.request) }
}

/** A fresh connection: resumes what was dispatched there and replaces what may be lost. */
internal fun reduceEndpointConnected(
    state: EntryState,
    event: PeerEvent.Connected
): Step<EntryState> = state.step().thenEach(leasesAt(state, event.peer)) { next, id ->
    val lease = next.leases[id]
    when {
        lease == null -> next.step()

        lease.incarnation != event.incarnation || lease.stage == LeaseStage.ASKED ->
            loseLease(next, lease)

        lease.stage == LeaseStage.GRANTED -> next.step()

        else -> resume(next, lease, event.connection)
    }
}

private fun resume(
    state: EntryState,
    lease: LeaseRecord,
    connection: ConnectionId
): Step<EntryState> {
    val record = state.requests[lease.request] ?: return state.step()
    val all = transfer(state, record, lease)
    val sent = if (lease.answerStarted) all.filterNot { it is CallerEffect.Upload } else all
    val answer = CallerEffect.ResumeAnswer(record.id, lease.lease, connection)
        .takeIf { lease.kind != WorkKind.SEGMENT }
    return Step(state, sent + listOfNotNull(answer))
}

/** A connection closed: leases not dispatched are asked for elsewhere, others wait to resume. */
internal fun reduceEndpointDisconnected(
    state: EntryState,
    before: EntryState,
    event: PeerEvent.Disconnected
): Step<EntryState> {
    val closed = event.connection != null &&
        before.common.peers[event.peer]?.connection == event.connection
    if (!closed) return state.step()
    return state.step().thenEach(leasesAt(state, event.peer)) { next, id ->
        val lease = next.leases[id]
        if (lease?.stage == LeaseStage.ASKED) loseLease(next, lease) else next.step()
    }
}

/** The time to resume is over: work at a peer that is still silent goes elsewhere. */
internal fun reduceSilenceTimer(state: EntryState, peer: HostId): Step<EntryState> {
    val link = state.common.peers[peer]
    val silent = state.common.now - (link?.silentSince ?: state.common.now)
    val left = state.common.timings.resumeTime - silent
    return when {
        link == null -> loseLeases(state, peer)
        link.silentSince == null -> state.step()
        !left.isPositive() -> loseLeases(state, peer)
        else -> state.step(RuntimeEffect.SetTimer(TimerId.PeerSilence(peer), left))
    }
}

private fun loseLeases(state: EntryState, peer: HostId): Step<EntryState> =
    state.step().thenEach(leasesAt(state, peer)) { next, id ->
        next.leases[id]?.let { loseLease(next, it) } ?: next.step()
    }

private fun leasesAt(state: EntryState, host: HostId): List<LeaseId> =
    state.leasesByHost[host]?.toList().orEmpty()
