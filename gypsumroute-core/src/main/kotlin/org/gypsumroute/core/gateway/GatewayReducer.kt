/*
 * The reducer of a gateway: dispatches each event to the reducer of its concern.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import org.gypsumroute.api.Event
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.SettingsEvent
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.drain.DrainPhase
import org.gypsumroute.core.gateway.admission.reviewWaiting
import org.gypsumroute.core.gateway.attempts.reduceForward
import org.gypsumroute.core.gateway.attempts.reduceForwardDeadline
import org.gypsumroute.core.gateway.attempts.reduceReservation
import org.gypsumroute.core.gateway.attempts.renewReservations
import org.gypsumroute.core.gateway.exchange.excludePauseFromSilence
import org.gypsumroute.core.gateway.exchange.reduceChangeReport
import org.gypsumroute.core.gateway.exchange.reduceExchange
import org.gypsumroute.core.gateway.exchange.reducePeriodicReport
import org.gypsumroute.core.gateway.exchange.reportChangedLoads
import org.gypsumroute.core.gateway.records.endRestore
import org.gypsumroute.core.gateway.records.reducePublished
import org.gypsumroute.core.gateway.records.reduceReadOverdue
import org.gypsumroute.core.gateway.records.reduceReadProgressed
import org.gypsumroute.core.gateway.records.removeLapsedEndpoints
import org.gypsumroute.core.gateway.records.startRead
import org.gypsumroute.core.gateway.records.startReadUnlessAwaited
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.map
import org.gypsumroute.core.reduceClock
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

internal fun reduceGateway(state: GatewayState, event: Event): Step<GatewayState> = when (event) {
    is RuntimeEvent.ClockRead -> state.onCommon { reduceClock(it, event) }.then { reducePause(it) }

    is RuntimeEvent.Started -> reduceGatewayStarted(state)

    is RuntimeEvent.DrainRequested -> reduceGatewayDrain(state)

    is RuntimeEvent.TimerFired -> reduceGatewayTimer(state, event.timer)

    is PublishedEvent.ReadProgressed -> reduceReadProgressed(state, event)

    is PublishedEvent -> reducePublished(state, event)
        .then { updateGatewayReadiness(it) }
        .then { it.step(countRead(readOutcome(event))) }

    is ForwardEvent -> reduceForward(state, event)

    is ExchangeEvent -> reduceExchange(state, event)

    is ReservationEvent -> reduceReservation(state, event)

    is SettingsEvent -> reduceSettings(state, event)

    else -> state.step()
}.then { reportChangedLoads(state, it) }.then { finishGatewayDrain(it) }

private fun reduceGatewayStarted(state: GatewayState): Step<GatewayState> = state.copy(
    common = state.common.copy(startupWaitElapsed = true)
).step(
    logEffect(
        LogEvent.PROCESS_STARTED,
        "role" to state.common.node.role,
        "incarnation" to state.common.node.incarnation,
        "data_centre" to state.common.node.dataCentre
    )
).then { startRead(it) }.then { reducePeriodicReport(it) }

private fun reduceGatewayTimer(state: GatewayState, timer: TimerId): Step<GatewayState> =
    when (timer) {
        is TimerId.ForwardDeadline -> reduceForwardDeadline(state, timer.request)
        is TimerId.PublishedRead -> startReadUnlessAwaited(state)
        is TimerId.ReadOverdue -> reduceReadOverdue(state)
        is TimerId.EndpointReturn -> removeLapsedEndpoints(state)
        is TimerId.RestoreEnd -> endRestore(state)
        is TimerId.AdmissionReview -> reviewWaiting(state)
        is TimerId.ReservationRenewal -> renewReservations(state)
        is TimerId.ReportBeat -> reducePeriodicReport(state)
        is TimerId.ReportChange -> reduceChangeReport(state)
        is TimerId.DrainSettled -> refuseNew(state)
        is TimerId.DrainEnd -> endOpenRequests(state)
        else -> state.step()
    }

private fun reduceSettings(state: GatewayState, event: SettingsEvent): Step<GatewayState> =
    when (event) {
        is SettingsEvent.Changed -> state.copy(
            bounds = event.bounds,
            exchange = state.exchange.copy(seeds = event.seeds)
        ).step(logEffect(LogEvent.SETTINGS_RELOADED, "seeds" to event.seeds.size))

        is SettingsEvent.FieldReplaced ->
            state.step(logEffect(LogEvent.SETTING_REPLACED, "problem" to event.problem))

        is SettingsEvent.Rejected ->
            state.step(logEffect(LogEvent.SETTINGS_REJECTED, "problem" to event.problem))
    }

/**
 * Ends the requests whose deadline passed while the process was paused. This comes before any other
 * decision, because the events that queued up during the pause could otherwise lead to further
 * attempts for these requests.
 */
private fun reducePause(state: GatewayState): Step<GatewayState> {
    val pause = state.common.detectedPause
    if (pause == Duration.ZERO) return state.step()
    val now = state.common.now
    val overdue = state.requests.values.filter { it.deadline <= now }
    return excludePauseFromSilence(state, pause).step()
        .thenEach(overdue) { next, record -> reduceForwardDeadline(next, record.request) }
}

/** The gateway is ready while it has a routing table and no planned stop was requested. */
private fun updateGatewayReadiness(state: GatewayState): Step<GatewayState> {
    val ready = state.common.drain == DrainPhase.SERVING && state.published.table != null
    if (ready == state.common.ready) return state.step()
    val next = state.copy(common = state.common.copy(ready = ready))
    val effect = RuntimeEffect.SetReady(ready)
    return if (ready) next.step(logEffect(LogEvent.PROCESS_READY), effect) else next.step(effect)
}

/** Applies a step to the state that all roles have in common. */
internal inline fun GatewayState.onCommon(
    change: (CommonState) -> Step<CommonState>
): Step<GatewayState> = change(common).map { if (it === common) this else copy(common = it) }
