/*
 * At-most-once calls: issues keys, claims them for leases and records what became of each action.
 *
 * A key names this agent's incarnation and a sequence number. It runs only while no record of it
 * exists and none can have been dropped; repeats get the recorded answer or a refusal.
 */
package org.gypsumroute.core

import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RunState
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.Step
import org.gypsumroute.api.WorkKind
import org.gypsumroute.api.WorkOrder

/** No answer while leaving: an unused key would soon be worthless. */
internal fun issueActionKey(
    state: AgentState,
    peer: HostId,
    message: PeerMessage.ActionKeyRequest
): Step<AgentState> {
    val document = state.common.documents.inForce(message.service)
    val served = document?.kind == ServiceKind.PLAIN && document.pool == state.common.node.pool
    if (!served || isDraining(state)) return state.step()
    val sequence = state.actions.issued + 1
    val key = signActionKey(state, sequence, message.service, message.organisation)
    val next = state.copy(actions = state.actions.copy(issued = sequence))
    val answer = PeerMessage.ActionKeyIssued(message.request, key)
    return Step(next, listOfNotNull(sendTo(next.common, peer, answer)))
}

/** Recorded outcomes are answered whatever the endpoint's state, since they cost no capacity. */
internal fun requestAction(state: AgentState, peer: HostId, order: WorkOrder): Step<AgentState> {
    val document = state.common.documents.inForce(order.service)
    val lease = newLease(state, peer, order, document) ?: return state.step()
    return when (val claim = claimAction(state, lease)) {
        is ActionClaim.Fresh -> admit(state, peer, order)
        is ActionClaim.Replay -> grantReplay(state, lease, claim.recordedLease)
        is ActionClaim.Refused -> refuse(state, lease, claim.failure)
    }
}

internal fun grantReplay(state: AgentState, lease: Lease, recorded: LeaseId): Step<AgentState> =
    issue(state, lease.copy(replayedLease = recorded))

internal fun claimAction(state: AgentState, lease: Lease): ActionClaim {
    if (lease.order.kind != WorkKind.ACTION) return ActionClaim.Fresh(null)
    return when (val key = verifyActionKey(state, lease.order)) {
        is ActionKeyVerification.Invalid -> refused(ErrorKind.ACTION_KEY_INVALID, RunState.NOT_RUN)

        is ActionKeyVerification.IssuedElsewhere -> refused(
            ErrorKind.ACTION_OUTCOME_UNKNOWN,
            RunState.UNKNOWN
        )

        is ActionKeyVerification.IssuedHere -> claimSequence(state.actions, key.sequence)
    }
}

private fun claimSequence(actions: ActionsState, sequence: Long): ActionClaim {
    val record = actions.records[sequence]
    return when (record?.phase) {
        null -> if (sequence < actions.lowWater) {
            refused(ErrorKind.ACTION_OUTCOME_UNKNOWN, RunState.UNKNOWN)
        } else {
            ActionClaim.Fresh(sequence)
        }

        ActionPhase.CLAIMED, ActionPhase.RUNNING ->
            refused(ErrorKind.ACTION_IN_PROGRESS, RunState.UNKNOWN)

        ActionPhase.DONE -> ActionClaim.Replay(record.lease)

        ActionPhase.UNKNOWN -> refused(ErrorKind.ACTION_OUTCOME_UNKNOWN, RunState.UNKNOWN)
    }
}

private fun refused(kind: ErrorKind, runState: RunState) =
    ActionClaim.Refused(Failure(kind, "action key ${kind.code}", runState))

internal fun ActionsState.claimed(sequence: Long, lease: LeaseId): ActionsState =
    copy(records = records.put(sequence, ActionRecord(lease, ActionPhase.CLAIMED)))

/** The claim's lease ended before the plain service was called; the key may be used again. */
internal fun ActionsState.unclaimed(sequence: Long, lease: LeaseId): ActionsState {
    val claim = ActionRecord(lease, ActionPhase.CLAIMED)
    return if (records[sequence] == claim) copy(records = records.remove(sequence)) else this
}

internal fun ActionsState.running(sequence: Long, lease: LeaseId): ActionsState =
    copy(records = records.put(sequence, ActionRecord(lease, ActionPhase.RUNNING)))

/** The call failed before a byte was written; the key may be used again. */
internal fun abandonAction(state: AgentState, reservation: Reservation): AgentState {
    val sequence = reservation.action ?: return state
    val records = state.actions.records.remove(sequence)
    return state.copy(actions = state.actions.copy(records = records))
}

/** Records the outcome and drops the oldest records above the document's limit. */
internal fun finishAction(
    state: AgentState,
    reservation: Reservation,
    phase: ActionPhase
): Step<AgentState> {
    val sequence = reservation.action ?: return state.step()
    val actions = state.actions
    if (sequence < actions.lowWater) {
        return state.copy(actions = actions.copy(records = actions.records.remove(sequence))).step()
    }
    val record = ActionRecord(reservation.lease, phase)
    val recorded = actions.copy(
        records = actions.records.put(sequence, record),
        finished = actions.finished + 1
    )
    val kept = state.common.documents.inForce(reservation.service)?.actions?.keptRecords
    return evictRecords(state.copy(actions = recorded), kept ?: recorded.finished)
}

private fun evictRecords(state: AgentState, kept: Int): Step<AgentState> {
    var step = state.step()
    while (step.state.actions.finished > maxOf(kept, 0)) step = step.then(::evictOldest)
    return step
}

/** Raises the low-water mark past the oldest finished record above it. */
private fun evictOldest(state: AgentState): Step<AgentState> {
    val actions = state.actions
    var sequence = actions.lowWater
    while (actions.records[sequence]?.phase !in FINISHED) sequence += 1
    val lease = actions.records[sequence]?.lease
    val next = state.copy(
        actions = actions.copy(
            lowWater = sequence + 1,
            records = actions.records.remove(sequence),
            finished = actions.finished - 1
        )
    )
    val unused = lease != null && lease !in state.leases
    return if (unused) next.step(EngineEffect.ForgetLease(lease)) else next.step()
}

/** Frees the answer of an ended lease unless it is the record of an action. */
internal fun forgetAnswer(state: AgentState, lease: Lease): Step<AgentState> {
    val record = lease.sequence(state)?.let { state.actions.records[it] }
    val recorded = record?.lease == lease.id
    return if (recorded) state.step() else state.step(EngineEffect.ForgetLease(lease.id))
}

/** The sequence number in the lease's action key, if this agent issued it. */
internal fun Lease.sequence(state: AgentState): Long? =
    (verifyActionKey(state, order) as? ActionKeyVerification.IssuedHere)?.sequence

private val FINISHED = setOf(ActionPhase.DONE, ActionPhase.UNKNOWN)
