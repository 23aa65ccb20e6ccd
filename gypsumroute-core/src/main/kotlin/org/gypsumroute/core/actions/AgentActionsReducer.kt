/*
 * At-most-once calls: issues action keys, claims them for leases and records each action's outcome.
 *
 * A key names this agent's incarnation and a sequence number. Its action runs only if no record of
 * it exists and none can have been evicted; repeated requests get the recorded answer or a refusal.
 */
package org.gypsumroute.core.actions

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
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.admission.admit
import org.gypsumroute.core.admission.isDraining
import org.gypsumroute.core.admission.issueGrant
import org.gypsumroute.core.admission.newLease
import org.gypsumroute.core.admission.refuse
import org.gypsumroute.core.leases.Lease
import org.gypsumroute.core.leases.Reservation
import org.gypsumroute.core.peers.sendTo
import org.gypsumroute.core.step
import org.gypsumroute.core.then

/**
 * Issues an action key. A draining agent sends no answer, because a key that is unused when the
 * process exits is worthless.
 */
internal fun answerActionKeyRequest(
    state: AgentState,
    peer: HostId,
    message: PeerMessage.ActionKeyRequest
): Step<AgentState> {
    val document = state.common.documents.inForce(message.service)
    val served = document?.kind == ServiceKind.PLAIN && document.pool == state.common.node.pool
    if (!served || isDraining(state)) return state.step()
    val sequence = state.actions.lastIssued + 1
    val key = signActionKey(state, sequence, message.service, message.organisation)
    val next = state.copy(actions = state.actions.copy(lastIssued = sequence))
    val answer = PeerMessage.ActionKeyIssued(message.request, key)
    return Step(next, listOfNotNull(sendTo(next.common, peer, answer)))
}

/**
 * Admits an action, grants the replay of its recorded answer, or refuses it. Replays are granted
 * in every state of the endpoint, also during a drain, because they need no capacity.
 */
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
    issueGrant(state, lease.copy(replayedLease = recorded))

internal fun claimAction(state: AgentState, lease: Lease): ActionClaim {
    if (lease.order.kind != WorkKind.ACTION) return ActionClaim.Fresh(null)
    return when (val key = verifyActionKey(state, lease.order)) {
        is ActionKeyVerification.Invalid -> refusedClaim(
            ErrorKind.ACTION_KEY_INVALID,
            RunState.NOT_RUN
        )

        is ActionKeyVerification.IssuedElsewhere -> refusedClaim(
            ErrorKind.ACTION_OUTCOME_UNKNOWN,
            RunState.UNKNOWN
        )

        is ActionKeyVerification.IssuedHere -> claimSequence(state.actions, key.sequence)
    }
}

private fun claimSequence(actions: ActionsState, sequence: Long): ActionClaim {
    val record = actions.records[sequence]
    return when (record?.phase) {
        null -> if (sequence < actions.lowWaterMark) {
            refusedClaim(ErrorKind.ACTION_OUTCOME_UNKNOWN, RunState.UNKNOWN)
        } else {
            ActionClaim.Fresh(sequence)
        }

        ActionPhase.CLAIMED, ActionPhase.RUNNING ->
            refusedClaim(ErrorKind.ACTION_IN_PROGRESS, RunState.UNKNOWN)

        ActionPhase.DONE -> ActionClaim.Replay(record.lease)

        ActionPhase.UNKNOWN -> refusedClaim(ErrorKind.ACTION_OUTCOME_UNKNOWN, RunState.UNKNOWN)
    }
}

private fun refusedClaim(kind: ErrorKind, runState: RunState) =
    ActionClaim.Refused(Failure(kind, "action key ${kind.code}", runState))

internal fun ActionsState.withClaim(sequence: Long, lease: LeaseId): ActionsState =
    copy(records = records.put(sequence, ActionRecord(lease, ActionPhase.CLAIMED)))

/** Removes the claim of a lease that ended before the call, so that the key can be used again. */
internal fun ActionsState.withoutClaim(sequence: Long, lease: LeaseId): ActionsState {
    val claim = ActionRecord(lease, ActionPhase.CLAIMED)
    return if (records[sequence] == claim) copy(records = records.remove(sequence)) else this
}

internal fun ActionsState.withRunning(sequence: Long, lease: LeaseId): ActionsState =
    copy(records = records.put(sequence, ActionRecord(lease, ActionPhase.RUNNING)))

/** Removes the record of a call that failed before a byte was written; the key stays usable. */
internal fun abandonAction(state: AgentState, reservation: Reservation): AgentState {
    val sequence = reservation.action ?: return state
    val records = state.actions.records.remove(sequence)
    return state.copy(actions = state.actions.copy(records = records))
}

/** Records the outcome and evicts the oldest finished records above the document's limit. */
internal fun finishAction(
    state: AgentState,
    reservation: Reservation,
    phase: ActionPhase
): Step<AgentState> {
    val sequence = reservation.action ?: return state.step()
    val actions = state.actions
    if (sequence < actions.lowWaterMark) {
        return state.copy(actions = actions.copy(records = actions.records.remove(sequence))).step()
    }
    val record = ActionRecord(reservation.lease, phase)
    val recorded = actions.copy(
        records = actions.records.put(sequence, record),
        finishedCount = actions.finishedCount + 1
    )
    val maxRecords = state.common.documents.inForce(reservation.service)?.actions?.keptRecords
    return evictRecords(state.copy(actions = recorded), maxRecords ?: recorded.finishedCount)
}

private fun evictRecords(state: AgentState, maxRecords: Int): Step<AgentState> {
    var step = state.step()
    while (step.state.actions.finishedCount > maxOf(maxRecords, 0)) step = step.then(::evictOldest)
    return step
}

/** Removes the oldest finished record and raises the low-water mark past it. */
private fun evictOldest(state: AgentState): Step<AgentState> {
    val actions = state.actions
    var sequence = actions.lowWaterMark
    while (actions.records[sequence]?.phase !in FINISHED) sequence += 1
    val lease = actions.records[sequence]?.lease
    val next = state.copy(
        actions = actions.copy(
            lowWaterMark = sequence + 1,
            records = actions.records.remove(sequence),
            finishedCount = actions.finishedCount - 1
        )
    )
    val answerUnused = lease != null && lease !in state.leases
    return if (answerUnused) next.step(EngineEffect.ForgetLease(lease)) else next.step()
}

/** Frees the stored answer of an ended lease, unless an action record still refers to it. */
internal fun forgetUnrecordedAnswer(state: AgentState, lease: Lease): Step<AgentState> {
    val record = lease.actionSequence(state)?.let { state.actions.records[it] }
    val recorded = record?.lease == lease.id
    return if (recorded) state.step() else state.step(EngineEffect.ForgetLease(lease.id))
}

/** The sequence number in the lease's action key, if this agent issued it. */
internal fun Lease.actionSequence(state: AgentState): Long? =
    (verifyActionKey(state, order) as? ActionKeyVerification.IssuedHere)?.sequence

private val FINISHED = setOf(ActionPhase.DONE, ActionPhase.UNKNOWN)
