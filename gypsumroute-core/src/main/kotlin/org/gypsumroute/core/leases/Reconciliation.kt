/*
 * Reconciles the ledger with the state that the engine reports.
 *
 * Reports lag: they may miss the newest streams and still list ended ones. A cancelled stream
 * counts as ended after two consecutive reads, both sent after the cancel, that do not list it.
 */
package org.gypsumroute.core.leases

import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.EngineState
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Moment
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.engine.EngineHold
import org.gypsumroute.core.engine.advanceModelOrder
import org.gypsumroute.core.engine.failLostWork
import org.gypsumroute.core.engine.freeReservation
import org.gypsumroute.core.engine.resetWarmth
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.map
import org.gypsumroute.core.peers.poolDocuments
import org.gypsumroute.core.peers.servedDocument
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

/** Repeats unconfirmed cancels and releases, and reads the engine's state. */
internal fun checkEngine(state: AgentState): Step<AgentState> {
    val now = state.common.now
    val interval = state.common.timings.engineCheck
    val repeats = state.ledger.reservations.values.mapNotNull { reservation ->
        when (reservation.hold) {
            EngineHold.CANCELLING -> EngineEffect.CancelStream(reservation.lease)
            EngineHold.RELEASING -> reservation.handle?.let { EngineEffect.ReleaseHandle(it) }
            else -> null
        }
    }
    val overdue =
        state.engine.readIssuedAt?.let { now - it > interval * READ_TIMEOUT_CHECKS } ?: false
    return Step(state, listOf(RuntimeEffect.SetTimer(TimerId.EngineCheck, interval)) + repeats)
        .then { if (overdue) reduceUnreachable(it, "no answer to a state read") else it.step() }
        .then { requestEngineState(it) }
}

/** Reads the engine's state unless a read is pending; pools of plain services have no engine. */
internal fun requestEngineState(state: AgentState): Step<AgentState> {
    val documents = poolDocuments(state.common)
    val plain = documents.isNotEmpty() && documents.all { it.kind == ServiceKind.PLAIN }
    if (plain || state.engine.readIssuedAt != null) return state.step()
    return state.copy(engine = state.engine.copy(readIssuedAt = state.common.now))
        .step(EngineEffect.ReadState)
}

internal fun reduceUnreachable(state: AgentState, cause: String): Step<AgentState> {
    val engine = state.engine.copy(readIssuedAt = null, failedReads = state.engine.failedReads + 1)
    val next = state.copy(engine = engine)
    val lost = state.engine.reachable && !engine.reachable
    return if (lost) {
        next.step(logEffect(LogEvent.ENGINE_UNREACHABLE, "cause" to cause))
    } else {
        next.step()
    }
}

internal fun reduceStateRead(state: AgentState, report: EngineState): Step<AgentState> {
    val issuedAt = state.engine.readIssuedAt ?: state.engine.lastReadIssuedAt
    val expected = state.engine.readIssuedAt != null
    val before = state.engine.state
    val restarted = before != null && before.incarnation != report.incarnation
    val read = state.copy(
        engine = state.engine.copy(
            state = report,
            readIssuedAt = null,
            lastReadIssuedAt = issuedAt,
            failedReads = 0
        )
    )
    return read.step()
        .then {
            if (restarted) handleEngineRestart(it, state.engine.lastReadIssuedAt) else it.step()
        }
        .then { if (expected) confirmByAbsence(it, report) else it.step() }
        .then { reconcileOrphans(it, report) }
        .map { it.copy(engine = it.engine.copy(unaccountedMemory = unaccountedMemory(it, report))) }
        .then { advanceModelOrder(it) }
}

/**
 * Handles a restart of the engine: fails the work that the earlier engine process held and
 * restarts the ramp. Work handed over after [lastRead] may already run on the new process, whose
 * reports lag; if it was lost, its own stream fails.
 */
private fun handleEngineRestart(state: AgentState, lastRead: Moment): Step<AgentState> {
    val report = state.engine.state ?: return state.step()
    val lost = state.ledger.reservations.values.filter { reservation ->
        val opened = reservation.openedAt
        reservation.onEngine && opened != null && opened <= lastRead &&
            !isListed(report, reservation)
    }
    val renewed = state.copy(
        engine = state.engine.copy(
            orphanStreams = state.engine.orphanStreams.clear(),
            orphanHandles = state.engine.orphanHandles.clear(),
            endedStreams = state.engine.endedStreams.clear()
        ),
        orders = state.orders.copy(unconfirmed = null)
    )
    return renewed.step()
        .thenEach(lost) { current, reservation ->
            failLostWork(current, reservation.lease, "the engine restarted")
        }
        .then { resetWarmth(it, servedDocument(it)?.service, "the engine restarted") }
}

private fun isListed(report: EngineState, reservation: Reservation): Boolean =
    reservation.lease in report.streams || reservation.handle?.let { it in report.handles } == true

private fun confirmByAbsence(state: AgentState, report: EngineState): Step<AgentState> {
    val readAt = state.engine.lastReadIssuedAt
    val awaited = state.ledger.reservations.values.filter {
        val awaitsConfirmation = it.hold == EngineHold.CANCELLING || it.hold == EngineHold.RELEASING
        it.onEngine && awaitsConfirmation && it.holdSince < readAt
    }
    return state.step().thenEach(awaited) { current, reservation ->
        val absences = if (isListed(report, reservation)) 0 else reservation.absentReads + 1
        if (absences >= ABSENT_READS_TO_CONFIRM) {
            freeReservation(current, reservation.lease)
        } else {
            val counted = reservation.copy(absentReads = absences)
            current.copy(ledger = current.ledger.put(counted)).step()
        }
    }
}

/** Memory in use that neither reservations nor recently ended streams account for. */
private fun unaccountedMemory(state: AgentState, report: EngineState): Tokens {
    val streams = report.streams.entries.sumOf { (lease, tokens) ->
        val reserved = state.ledger[lease]?.tokens
        when {
            reserved != null -> minOf(reserved, tokens).count
            lease in state.engine.endedStreams -> tokens.count
            else -> 0L
        }
    }
    val handles = report.handles.entries.sumOf { (handle, tokens) ->
        val reserved = state.ledger.handles[handle]?.let { state.ledger[it]?.tokens }
        reserved?.let { minOf(it, tokens).count } ?: 0L
    }
    return Tokens(maxOf(report.usedMemory.count - streams - handles, 0))
}

/** A read that is not answered within this many check intervals counts as failed. */
private const val READ_TIMEOUT_CHECKS = 2

/** Consecutive reads that must not list a cancelled stream or released cache to confirm its end. */
private const val ABSENT_READS_TO_CONFIRM = 2
