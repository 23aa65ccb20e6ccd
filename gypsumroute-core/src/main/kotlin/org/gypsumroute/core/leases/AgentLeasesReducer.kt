/*
 * Lifetime of leases: due times, renewal, release and expiry.
 *
 * Each lease has one valid entry in the ordered deadlines, at or before its due time. A renewal
 * doesn't move the entry; when the entry's time comes, the lease is entered again at its new time.
 */
package org.gypsumroute.core.leases

import kotlin.time.Duration
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.WorkKind
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.actions.forgetUnrecordedAnswer
import org.gypsumroute.core.actions.withoutClaim
import org.gypsumroute.core.admission.deadlineUnreachable
import org.gypsumroute.core.admission.refuseQueued
import org.gypsumroute.core.engine.cancelWork
import org.gypsumroute.core.engine.releaseHandle
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.peers.sendTo
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

/** Stores a lease, and adds a deadline and a timer unless an earlier one already covers it. */
internal fun putLease(state: AgentState, lease: Lease): Step<AgentState> {
    val due = lease.dueAt
    if (lease.nextCheckAt != null && lease.nextCheckAt <= due) {
        return state.copy(leases = state.leases.put(lease.id, lease)).step()
    }
    return state.copy(
        leases = state.leases.put(lease.id, lease.copy(nextCheckAt = due)),
        deadlines = state.deadlines.add(due, lease.id)
    ).step(
        RuntimeEffect.SetTimer(
            TimerId.Lease(lease.id),
            maxOf(due - state.common.now, Duration.ZERO)
        )
    )
}

/** The lease, if it belongs to the process of [peer] that is connected now. */
internal fun AgentState.leaseOf(peer: HostId, lease: LeaseId): Lease? = leases[lease]?.takeIf {
    it.peer == peer && it.peerIncarnation == common.peers[peer]?.incarnation
}

internal fun expireLeases(state: AgentState): Step<AgentState> {
    var step = state.step()
    while (true) {
        val entry = step.state.deadlines.first ?: return step
        if (entry.at > state.common.now) return step
        step = step.then { handleDueEntry(it.copy(deadlines = it.deadlines.withoutFirst()), entry) }
    }
}

private fun handleDueEntry(state: AgentState, entry: LeaseDeadlines.Entry): Step<AgentState> {
    val lease = state.leases[entry.lease]
    return when {
        lease == null || lease.nextCheckAt != entry.at -> state.step()
        lease.dueAt > state.common.now -> putLease(state, lease.copy(nextCheckAt = null))
        lease.phase == LeasePhase.QUEUED -> expireQueued(state, lease.copy(nextCheckAt = null))
        else -> expireLease(state, lease)
    }
}

private fun expireLease(state: AgentState, lease: Lease): Step<AgentState> {
    val failure = expiryFailure(state, lease)
    val expiryLog = logEffect(
        LogEvent.LEASE_EXPIRED,
        "lease" to lease.id,
        "phase" to lease.phase,
        "entry" to lease.peer
    )
    val logs = if (lease.phase == LeasePhase.ENDED) emptyList() else listOf(expiryLog)
    return endLease(state, lease).then { current ->
        Step(current, logs + failure?.let { current.sendWorkFailed(lease, it) }.orEmpty())
    }
}

/** Keeps a queued lease while its entry is connected and the work can still meet its deadline. */
private fun expireQueued(state: AgentState, lease: Lease): Step<AgentState> = when {
    lease.latestStart <= state.common.now ->
        refuseQueued(state, lease, deadlineUnreachable("the time left no longer suffices"))

    state.leaseOf(lease.peer, lease.id) != null ->
        putLease(state, lease.copy(expiresAt = state.common.now + state.common.timings.leaseTime))

    else -> endLease(state, lease)
}

private fun expiryFailure(state: AgentState, lease: Lease): Failure? {
    val kind = if (lease.deadline <= state.common.now) {
        ErrorKind.DEADLINE_EXCEEDED
    } else {
        ErrorKind.LEASE_EXPIRED
    }
    return when (lease.phase) {
        LeasePhase.RECEIVING -> Failure(kind, "the prompt had not arrived", RunState.NOT_RUN)

        LeasePhase.RUNNING, LeasePhase.EXPORTED -> Failure(
            kind,
            "lease ended",
            runStateAfterStart(lease)
        )

        else -> null
    }
}

private fun runStateAfterStart(lease: Lease): RunState = when (lease.order.kind) {
    WorkKind.GENERATION, WorkKind.SEGMENT -> RunState.RAN
    WorkKind.CALL, WorkKind.ACTION -> RunState.UNKNOWN
}

internal fun renewLeases(state: AgentState, peer: HostId, leases: List<LeaseId>): Step<AgentState> =
    state.step().thenEach(leases) { current, id ->
        val lease = current.leaseOf(peer, id)
        if (lease == null) {
            Step(current, listOfNotNull(sendTo(current.common, peer, unknownLease(id))))
        } else {
            renewLease(current, lease)
        }
    }

/**
 * Extends a lease by the lease time. A granted lease that is not dispatched yet isn't extended, so
 * that unused grants expire; only a group's grant may wait for the other members.
 */
internal fun renewLease(state: AgentState, lease: Lease): Step<AgentState> {
    val unused = lease.phase == LeasePhase.GRANTED && lease.order.group == null
    if (unused) return state.step()
    val until = state.common.now + state.common.timings.leaseTime
    return putLease(state, lease.copy(expiresAt = maxOf(lease.expiresAt, until)))
}

internal fun unknownLease(lease: LeaseId): PeerMessage = PeerMessage.WorkFailed(
    lease,
    Failure(ErrorKind.LEASE_EXPIRED, "the agent does not hold this lease", RunState.UNKNOWN)
)

internal fun releaseLease(state: AgentState, peer: HostId, id: LeaseId): Step<AgentState> {
    val lease = state.leaseOf(peer, id) ?: return state.step()
    return endLease(state, lease)
}

/** Ends the leases of earlier processes of an entry; a restarted entry cannot claim them. */
internal fun endLeasesOfEarlierIncarnation(
    state: AgentState,
    event: PeerEvent.Connected
): Step<AgentState> {
    val dropped = state.leases.values.filter {
        it.peer == event.peer && it.peerIncarnation != event.incarnation
    }
    return state.step().thenEach(dropped) { current, lease -> endLease(current, lease) }
}

/**
 * Ends a lease in any phase. Work on the engine is cancelled or released, and its reservation stays
 * in the ledger until the engine confirms that. A running action continues without its lease.
 */
internal fun endLease(state: AgentState, lease: Lease): Step<AgentState> {
    val id = lease.id
    val next = state.copy(leases = state.leases.remove(id))
    val timer = RuntimeEffect.CancelTimer(TimerId.Lease(id))
    return next.step(timer).then { current ->
        when (lease.phase) {
            LeasePhase.QUEUED -> current.copy(queue = current.queue.remove(id)).step()

            LeasePhase.GRANTED -> releaseUnusedReservation(current, id).step()

            LeasePhase.RECEIVING -> releaseUnusedReservation(
                current,
                id
            ).step(EngineEffect.ForgetLease(id))

            LeasePhase.RUNNING ->
                if (lease.order.kind == WorkKind.ACTION) current.step() else cancelWork(current, id)

            LeasePhase.EXPORTED -> releaseHandle(current, id)

            LeasePhase.ENDED -> forgetUnrecordedAnswer(current, lease)
        }
    }
}

/** Frees the reservation, and the action key's claim, of work that was not handed over. */
private fun releaseUnusedReservation(state: AgentState, lease: LeaseId): AgentState {
    val action = state.ledger[lease]?.action
    return state.copy(
        ledger = state.ledger.remove(lease),
        actions = if (action == null) state.actions else state.actions.withoutClaim(action, lease)
    )
}

/** Sends a message to the entry process that holds the lease, if it is connected. */
internal fun AgentState.sendToEntry(lease: Lease, message: PeerMessage): List<Effect> =
    if (common.peers[lease.peer]?.incarnation != lease.peerIncarnation) {
        emptyList()
    } else {
        listOfNotNull(sendTo(common, lease.peer, message))
    }

/** Tells the entry that the work of a lease failed. */
internal fun AgentState.sendWorkFailed(lease: Lease, failure: Failure): List<Effect> =
    sendToEntry(lease, PeerMessage.WorkFailed(lease.id, failure))
