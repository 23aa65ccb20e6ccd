/*
 * Handles what the engine and the plain service report about running work.
 *
 * A reservation is freed here only after a report that the engine holds nothing of its work any
 * more.
 */
package org.gypsumroute.core.engine

import kotlin.time.Duration
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.actions.ActionPhase
import org.gypsumroute.core.actions.ActionRecord
import org.gypsumroute.core.actions.abandonAction
import org.gypsumroute.core.actions.finishAction
import org.gypsumroute.core.leases.Lease
import org.gypsumroute.core.leases.LeasePhase
import org.gypsumroute.core.leases.Reservation
import org.gypsumroute.core.leases.putLease
import org.gypsumroute.core.leases.requestEngineState
import org.gypsumroute.core.leases.sendToEntry
import org.gypsumroute.core.leases.sendWorkFailed
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.requests.revoke
import org.gypsumroute.core.step
import org.gypsumroute.core.then

/** Cancels a stream, prefill or repeatable call; its reservation waits for the confirmation. */
internal fun cancelWork(state: AgentState, id: LeaseId): Step<AgentState> {
    val reservation = state.ledger[id] ?: return state.step()
    val cancelled = reservation.withHold(EngineHold.CANCELLING, state.common.now)
    return state.copy(ledger = state.ledger.put(cancelled)).step(EngineEffect.CancelStream(id))
}

/** Releases the exported cache of a segment; its reservation waits for the confirmation. */
internal fun releaseHandle(state: AgentState, id: LeaseId): Step<AgentState> {
    val reservation = state.ledger[id] ?: return state.step()
    val handle = reservation.handle ?: return state.step()
    val released = reservation.withHold(EngineHold.RELEASING, state.common.now)
    return state.copy(ledger = state.ledger.put(released)).step(EngineEffect.ReleaseHandle(handle))
}

internal fun reduceFirstToken(state: AgentState, event: EngineEvent.FirstToken): Step<AgentState> {
    val reservation = state.ledger[event.lease] ?: return state.step()
    val active = reservation.hold == EngineHold.OPEN || reservation.hold == EngineHold.CANCELLING
    if (!active || !reservation.prefilling) return state.step()
    val next = state.copy(ledger = state.ledger.put(reservation.copy(prefilling = false)))
    return updateWarmth(next, reservation, event.elapsed)
}

internal fun reduceStreamEnded(state: AgentState, id: LeaseId): Step<AgentState> {
    val hold = state.ledger[id]?.hold
    if (hold != EngineHold.OPEN && hold != EngineHold.CANCELLING) return state.step()
    return retainAnswer(state, id).then { freeReservation(it, id) }
}

internal fun reduceSegmentExported(
    state: AgentState,
    event: EngineEvent.SegmentExported
): Step<AgentState> {
    val handle = event.handle.handle
    val reservation = state.ledger[event.lease]
    return when (reservation?.hold) {
        EngineHold.OPEN -> segmentReady(state, reservation, event)

        EngineHold.CANCELLING -> {
            val exported = reservation.copy(handle = handle, prefilling = false)
            releaseHandle(state.copy(ledger = state.ledger.put(exported)), event.lease)
        }

        EngineHold.EXPORTED, EngineHold.RELEASING -> state.step()

        EngineHold.PLANNED, null -> state.step(EngineEffect.ReleaseHandle(handle))
    }
}

private fun segmentReady(
    state: AgentState,
    reservation: Reservation,
    event: EngineEvent.SegmentExported
): Step<AgentState> {
    val exported = reservation.withHold(EngineHold.EXPORTED, state.common.now)
        .copy(handle = event.handle.handle, prefilling = false)
    val next = state.copy(ledger = state.ledger.put(exported))
    val lease = state.leases[event.lease] ?: return releaseHandle(next, event.lease)
    return putLease(next, lease.copy(phase = LeasePhase.EXPORTED))
        .then {
            Step(it, it.sendToEntry(lease, PeerMessage.SegmentReady(lease.id, event.handle)))
        }
        .then { updateWarmth(it, reservation, event.elapsed) }
}

internal fun reduceStreamFailed(
    state: AgentState,
    event: EngineEvent.StreamFailed
): Step<AgentState> {
    val id = event.lease
    val reservation = state.ledger[id] ?: return state.step()
    val lease = state.leases[id]
    return when (reservation.hold) {
        EngineHold.EXPORTED, EngineHold.RELEASING -> state.step()

        EngineHold.CANCELLING -> if (event.reached) state.step() else freeReservation(state, id)

        EngineHold.PLANNED -> if (lease == null) state.step() else revoke(state, lease, event.cause)

        EngineHold.OPEN -> {
            val messages = lease?.let { state.sendWorkFailed(it, streamFailure(event)) }.orEmpty()
            state.copy(leases = state.leases.remove(id))
                .step(RuntimeEffect.CancelTimer(TimerId.Lease(id)))
                .then { if (event.reached) cancelWork(it, id) else freeReservation(it, id) }
                .then { Step(it, messages) }
                .then { requestEngineState(it) }
        }
    }
}

private fun streamFailure(event: EngineEvent.StreamFailed): Failure = if (event.reached) {
    Failure(ErrorKind.ENGINE_FAILED, event.cause, RunState.RAN)
} else {
    Failure(ErrorKind.ENGINE_REFUSED, event.cause, RunState.NOT_RUN)
}

/** Handles the report that the engine holds nothing of a stream any more. */
internal fun reduceCancelConfirmed(state: AgentState, id: LeaseId): Step<AgentState> =
    when (state.ledger[id]?.hold) {
        EngineHold.CANCELLING -> freeReservation(state, id)
        EngineHold.OPEN -> failLostWork(state, id, "the engine dropped the stream")
        null -> forgetOrphan(state, id).step()
        else -> state.step()
    }

private fun forgetOrphan(state: AgentState, id: LeaseId): AgentState {
    val engine = state.engine
    if (id !in engine.orphanStreams) return state
    return state.copy(
        engine = engine.copy(
            orphanStreams = engine.orphanStreams.remove(id),
            endedStreams = engine.endedStreams.put(id, state.common.now)
        )
    )
}

/** Frees the reservation of work that the engine has dropped, and fails its lease. */
internal fun failLostWork(state: AgentState, id: LeaseId, cause: String): Step<AgentState> {
    val lease = state.leases[id] ?: return freeReservation(state, id)
    return state.copy(leases = state.leases.remove(id))
        .step(RuntimeEffect.CancelTimer(TimerId.Lease(id)))
        .then { freeReservation(it, id) }
        .then {
            Step(
                it,
                it.sendWorkFailed(lease, Failure(ErrorKind.ENGINE_FAILED, cause, RunState.RAN))
            )
        }
}

internal fun reduceHandleReleased(state: AgentState, handle: HandleId): Step<AgentState> {
    val id = state.ledger.handles[handle]
    if (id == null) {
        val orphans = state.engine.orphanHandles.remove(handle)
        return state.copy(engine = state.engine.copy(orphanHandles = orphans)).step()
    }
    return when (state.ledger[id]?.hold) {
        EngineHold.RELEASING -> freeReservation(state, id)
        EngineHold.EXPORTED -> failLostWork(state, id, "the engine dropped the segment")
        else -> state.step()
    }
}

internal fun reduceCallEnded(state: AgentState, event: EngineEvent.CallEnded): Step<AgentState> {
    val reservation = state.ledger[event.lease] ?: return state.step()
    if (!isCall(reservation)) return state.step()
    return retainAnswer(state, event.lease)
        .then { finishAction(it, reservation, ActionPhase.DONE) }
        .then { freeReservation(it, event.lease) }
        .then { updateWarmth(it, reservation, Duration.ZERO) }
}

internal fun reduceCallFailed(state: AgentState, event: EngineEvent.CallFailed): Step<AgentState> {
    val id = event.lease
    val reservation = state.ledger[id]?.takeIf(::isCall) ?: return state.step()
    val lease = state.leases[id]
    val runState = if (event.reached) RunState.UNKNOWN else RunState.NOT_RUN
    val failure = Failure(ErrorKind.PLAIN_SERVICE_FAILED, event.cause, runState)
    val unknownAction = event.reached && reservation.action != null
    val log = logEffect(LogEvent.ACTION_UNKNOWN, "lease" to id, "cause" to event.cause)
    return state.copy(leases = state.leases.remove(id))
        .step(RuntimeEffect.CancelTimer(TimerId.Lease(id)))
        .then {
            if (event.reached) {
                finishAction(it, reservation, ActionPhase.UNKNOWN)
            } else {
                abandonAction(it, reservation).step()
            }
        }
        .then { freeReservation(it, id) }
        .then { Step(it, lease?.let { active -> it.sendWorkFailed(active, failure) }.orEmpty()) }
        .then { if (unknownAction) it.step(log) else it.step() }
        .then { current ->
            if (event.reached) {
                current.step()
            } else {
                resetWarmth(current, reservation.service, "the service took no connection")
            }
        }
}

private fun isCall(reservation: Reservation): Boolean = !reservation.onEngine &&
    (reservation.hold == EngineHold.OPEN || reservation.hold == EngineHold.CANCELLING)

/** Keeps the stored answer of ended work for its entry until the lease ends. */
private fun retainAnswer(state: AgentState, id: LeaseId): Step<AgentState> {
    val lease = state.leases[id] ?: return state.step()
    return putLease(state, lease.copy(phase = LeasePhase.ENDED))
}

/**
 * Frees a reservation. The stored answer is freed too, unless a lease or an action record still
 * refers to it.
 */
internal fun freeReservation(state: AgentState, id: LeaseId): Step<AgentState> {
    val reservation = state.ledger[id] ?: return state.step()
    val holdTime = state.common.now - reservation.grantedAt
    val average = state.averageHoldTime
        ?.let { it + (holdTime - it) / HOLD_TIME_AVERAGE_SAMPLES } ?: holdTime
    val endedStreams = state.engine.endedStreams
    val next = state.copy(
        ledger = state.ledger.remove(id),
        averageHoldTime = if (reservation.openedAt == null) state.averageHoldTime else average,
        engine = state.engine.copy(
            endedStreams = if (reservation.onEngine) {
                endedStreams.put(
                    id,
                    state.common.now
                )
            } else {
                endedStreams
            }
        )
    )
    val answerNeeded = id in state.leases || isRecorded(state, reservation)
    return if (answerNeeded) next.step() else next.step(EngineEffect.ForgetLease(id))
}

private fun isRecorded(state: AgentState, reservation: Reservation): Boolean =
    reservation.action?.let { state.actions.records[it] } ==
        ActionRecord(reservation.lease, ActionPhase.DONE)

/** The moving average of the hold time covers about this many of the latest streams. */
private const val HOLD_TIME_AVERAGE_SAMPLES = 8
