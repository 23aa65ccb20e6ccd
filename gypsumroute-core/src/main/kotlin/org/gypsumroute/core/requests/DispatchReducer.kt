/*
 * The agent side of dispatch: accepts the work of a granted lease, waits for its body, and starts
 * it at the engine or the plain service.
 */
package org.gypsumroute.core.requests

import org.gypsumroute.api.Effect
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RunState
import org.gypsumroute.api.Step
import org.gypsumroute.api.WorkKind
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.actions.ActionPhase
import org.gypsumroute.core.actions.actionSequence
import org.gypsumroute.core.actions.withRunning
import org.gypsumroute.core.engine.EngineHold
import org.gypsumroute.core.leases.Lease
import org.gypsumroute.core.leases.LeasePhase
import org.gypsumroute.core.leases.endLease
import org.gypsumroute.core.leases.leaseOf
import org.gypsumroute.core.leases.putLease
import org.gypsumroute.core.leases.renewLease
import org.gypsumroute.core.leases.sendWorkFailed
import org.gypsumroute.core.leases.unknownLease
import org.gypsumroute.core.peers.lengthClass
import org.gypsumroute.core.peers.sendTo
import org.gypsumroute.core.step
import org.gypsumroute.core.then

internal fun dispatch(
    state: AgentState,
    peer: HostId,
    message: PeerMessage.Dispatch
): Step<AgentState> {
    val lease = state.leaseOf(peer, message.lease)
    return when (lease?.phase) {
        null -> Step(state, listOfNotNull(sendTo(state.common, peer, unknownLease(message.lease))))
        LeasePhase.QUEUED -> state.step()
        LeasePhase.GRANTED -> dispatchGranted(state, lease, message)
        LeasePhase.RECEIVING -> receiveBody(state, lease, message)
        LeasePhase.RUNNING, LeasePhase.EXPORTED, LeasePhase.ENDED -> renewLease(state, lease)
    }
}

private fun dispatchGranted(
    state: AgentState,
    lease: Lease,
    message: PeerMessage.Dispatch
): Step<AgentState> {
    val dispatched = lease.copy(
        phase = LeasePhase.RECEIVING,
        outputLimit = minOf(lease.order.outputLimit, message.outputLimit),
        imports = message.imports
    )
    return if (lease.replayedLease == null) {
        receiveBody(state, dispatched, message)
    } else {
        replay(state, dispatched, lease.replayedLease)
    }
}

/**
 * Starts to receive the body. Also handles a dispatch that the entry repeats on a new connection;
 * the traffic side ignores duplicates.
 */
private fun receiveBody(
    state: AgentState,
    lease: Lease,
    message: PeerMessage.Dispatch
): Step<AgentState> = renewLease(state, lease).then {
    it.step(EngineEffect.ReceiveBody(lease.id, message.bodyBytes))
}

/** Sends the recorded answer of an action, or fails if the record was evicted after the grant. */
private fun replay(state: AgentState, lease: Lease, recorded: LeaseId): Step<AgentState> {
    val record = lease.actionSequence(state)?.let { state.actions.records[it] }
    if (record?.lease == recorded && record.phase == ActionPhase.DONE) {
        return renewLease(state, lease.copy(phase = LeasePhase.ENDED)).then {
            it.step(EngineEffect.ReplayAnswer(recorded, lease.id))
        }
    }
    val failure = Failure(ErrorKind.ACTION_OUTCOME_UNKNOWN, "the action's record was dropped")
    return endLease(state, lease).then { Step(it, it.sendWorkFailed(lease, failure)) }
}

/** Hands the work to the engine or the plain service once its whole body has arrived. */
internal fun startWork(state: AgentState, id: LeaseId): Step<AgentState> {
    val lease = state.leases[id]?.takeIf { it.phase == LeasePhase.RECEIVING }
    val reservation = state.ledger[id]?.takeIf { it.hold == EngineHold.PLANNED }
    if (lease == null || reservation == null) return state.step()
    val tokensInPrefill = state.ledger.reservations.values.sumOf {
        if (it.hold == EngineHold.OPEN && it.prefilling) it.prompt.count else 0L
    }
    val opened = reservation.withHold(EngineHold.OPEN, state.common.now).copy(
        openedAt = state.common.now,
        prefilledTokensAtOpen = state.ledger.openedPromptTokens - tokensInPrefill
    )
    val ledger = state.ledger.put(opened)
    val started = state.copy(
        ledger = ledger.copy(openedPromptTokens = ledger.openedPromptTokens + opened.prompt.count),
        actions = opened.action?.let { state.actions.withRunning(it, id) } ?: state.actions
    )
    return putLease(started, lease.copy(phase = LeasePhase.RUNNING)).then {
        // Engines prefill the highest priority first. Length classes are numbered from the
        // shortest, so the negated number gives the shortest class the highest priority.
        it.step(workEffect(lease, priority = -opened.lengthClass))
    }
}

private fun workEffect(lease: Lease, priority: Int): Effect = when (lease.order.kind) {
    WorkKind.GENERATION ->
        EngineEffect.OpenStream(lease.id, lease.outputLimit, priority, lease.imports)

    WorkKind.SEGMENT -> EngineEffect.PrefillSegment(lease.id, priority, lease.imports)

    WorkKind.CALL, WorkKind.ACTION ->
        EngineEffect.CallService(lease.id, lease.order.path.orEmpty())
}

/** Withdraws the grant of work that was not handed to the engine, and tells the entry why. */
internal fun revoke(state: AgentState, lease: Lease, cause: String): Step<AgentState> {
    val failure = Failure(ErrorKind.ENGINE_REFUSED, cause, RunState.NOT_RUN)
    return endLease(state, lease).then { Step(it, it.sendWorkFailed(lease, failure)) }
}
