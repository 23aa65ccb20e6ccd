/*
 * Life of leases: due times, renewal, release and expiry.
 *
 * Each lease has one entry in the ordered deadlines, at or before its due time. Renewals leave it
 * there; it is moved on when its old time comes.
 */
package org.gypsumroute.core

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

/** Stores a lease and makes sure that it is looked at when it falls due. */
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

/** The lease if the entry process that now uses the connection to [peer] holds it. */
internal fun AgentState.leaseOf(peer: HostId, lease: LeaseId): Lease? = leases[lease]?.takeIf {
    it.peer == peer && it.peerIncarnation == common.peers[peer]?.incarnation
}

internal fun expireLeases(state: AgentState): Step<AgentState> {
    var step = state.step()
    while (true) {
        val entry = step.state.deadlines.first ?: return step
        if (entry.at > state.common.now) return step
        step = step.then { takeDue(it.copy(deadlines = it.deadlines.withoutFirst()), entry) }
    }
}

private fun takeDue(state: AgentState, entry: LeaseDeadlines.Entry): Step<AgentState> {
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
    val log = logEffect(
        LogEvent.LEASE_EXPIRED,
        "lease" to lease.id,
        "phase" to lease.phase,
        "entry" to lease.peer
    )
    val logs = if (lease.phase == LeasePhase.ENDED) emptyList() else listOf(log)
    return endLease(state, lease).then { current ->
        Step(current, logs + failure?.let { current.workFailed(lease, it) }.orEmpty())
    }
}

/** A queued lease waits on while its entry is connected, until it is too late to start. */
private fun expireQueued(state: AgentState, lease: Lease): Step<AgentState> = when {
    lease.latestStart <= state.common.now ->
        refuseQueued(state, lease, lateFailure("the time left no longer suffices"))

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
        LeasePhase.RUNNING, LeasePhase.EXPORTED -> Failure(kind, "lease ended", ranState(lease))
        else -> null
    }
}

private fun ranState(lease: Lease): RunState = when (lease.order.kind) {
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

/** A grant that is not used lapses; only a group's grant waits for the other members. */
internal fun renewLease(state: AgentState, lease: Lease): Step<AgentState> {
    val idle = lease.phase == LeasePhase.GRANTED && lease.order.group == null
    if (idle) return state.step()
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

/** A restarted entry cannot claim the leases of its predecessor. */
internal fun dropEarlierIncarnation(
    state: AgentState,
    event: PeerEvent.Connected
): Step<AgentState> {
    val dropped = state.leases.values.filter {
        it.peer == event.peer && it.peerIncarnation != event.incarnation
    }
    return state.step().thenEach(dropped) { current, lease -> endLease(current, lease) }
}

/**
 * Ends a lease in any phase. What the engine holds is cancelled or released and stays in the
 * ledger until the engine confirms that; a running action goes on without its lease.
 */
internal fun endLease(state: AgentState, lease: Lease): Step<AgentState> {
    val id = lease.id
    val next = state.copy(leases = state.leases.remove(id))
    val timer = RuntimeEffect.CancelTimer(TimerId.Lease(id))
    return next.step(timer).then { current ->
        when (lease.phase) {
            LeasePhase.QUEUED -> current.copy(queue = current.queue.remove(id)).step()

            LeasePhase.GRANTED -> withdraw(current, id).step()

            LeasePhase.RECEIVING -> withdraw(current, id).step(EngineEffect.ForgetLease(id))

            LeasePhase.RUNNING ->
                if (lease.order.kind == WorkKind.ACTION) current.step() else cancel(current, id)

            LeasePhase.EXPORTED -> releaseHandle(current, id)

            LeasePhase.ENDED -> forgetAnswer(current, lease)
        }
    }
}

/** Gives back capacity, and an action's claim, that the engine never saw. */
private fun withdraw(state: AgentState, lease: LeaseId): AgentState {
    val action = state.ledger[lease]?.action
    return state.copy(
        ledger = state.ledger.remove(lease),
        actions = if (action == null) state.actions else state.actions.unclaimed(action, lease)
    )
}

/** A message about a lease to the entry that holds it, if that process is connected. */
internal fun AgentState.toEntry(lease: Lease, message: PeerMessage): List<Effect> =
    if (common.peers[lease.peer]?.incarnation != lease.peerIncarnation) {
        emptyList()
    } else {
        listOfNotNull(sendTo(common, lease.peer, message))
    }

/** Tells the entry that the work of a lease failed. */
internal fun AgentState.workFailed(lease: Lease, failure: Failure): List<Effect> =
    toEntry(lease, PeerMessage.WorkFailed(lease.id, failure))
