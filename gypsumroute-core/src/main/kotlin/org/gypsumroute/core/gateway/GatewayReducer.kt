/*
 * Events as a gateway treats them.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.Event
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.SettingsEvent
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.DrainPhase
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.map
import org.gypsumroute.core.reduceClock
import org.gypsumroute.core.reduceDrainRequested
import org.gypsumroute.core.step
import org.gypsumroute.core.then

internal fun reduceGateway(state: GatewayState, event: Event): Step<GatewayState> = when (event) {
    is RuntimeEvent.ClockRead -> state.onCommon { reduceClock(it, event) }
    is RuntimeEvent.Started -> reduceGatewayStarted(state)
    is RuntimeEvent.DrainRequested -> reduceGatewayDrain(state)
    is RuntimeEvent.TimerFired -> reduceGatewayTimer(state, event.timer)
    is PublishedEvent -> reducePublished(state, event).then { updateGatewayReadiness(it) }
    is ForwardEvent -> reduceForward(state, event)
    is ExchangeEvent -> reduceExchange(state, event)
    is ReservationEvent -> reduceReservation(state, event)
    is SettingsEvent -> reduceSettings(state, event)
    else -> state.step()
}.then { spreadChanges(state, it) }.then { finishGatewayDrain(it) }

private fun reduceGatewayStarted(state: GatewayState): Step<GatewayState> = state.step(
    logEffect(
        LogEvent.PROCESS_STARTED,
        "role" to state.common.node.role,
        "incarnation" to state.common.node.incarnation,
        "data_centre" to state.common.node.dataCentre
    ),
    PublishedEffect.ReadSnapshot
).then { reduceReportBeat(it) }

private fun reduceGatewayTimer(state: GatewayState, timer: TimerId): Step<GatewayState> =
    when (timer) {
        is TimerId.ForwardDeadline -> reduceForwardDeadline(state, timer.request)

        is TimerId.PublishedRead -> readPublished(state)

        is TimerId.EndpointReturn -> dropLapsedEndpoints(state)

        is TimerId.ReservationRenewal -> renewReservations(state)

        is TimerId.ReportBeat -> reduceReportBeat(state)

        is TimerId.ReportChange -> reduceReportChange(state)

        is TimerId.DrainSettled ->
            state.copy(drainSettled = true).step(ForwardEffect.StopAccepting)

        else -> state.step()
    }

/**
 * Begins a planned stop. The balancer needs some time to notice, and until then requests are
 * served as before. Later ones might not end in time, so connections that are idle by then close.
 */
private fun reduceGatewayDrain(state: GatewayState): Step<GatewayState> =
    if (state.common.drain != DrainPhase.SERVING) {
        state.step()
    } else {
        state.onCommon { reduceDrainRequested(it) }
            .then { it.step(RuntimeEffect.SetTimer(TimerId.DrainSettled, BALANCER_TIME)) }
    }

private fun reduceSettings(state: GatewayState, event: SettingsEvent): Step<GatewayState> =
    when (event) {
        is SettingsEvent.Changed -> state.copy(
            bounds = event.bounds,
            exchange = state.exchange.copy(seeds = event.seeds)
        ).step(logEffect(LogEvent.SETTINGS_RELOADED, "seeds" to event.seeds.size))

        is SettingsEvent.Rejected ->
            state.step(logEffect(LogEvent.SETTINGS_REJECTED, "problem" to event.problem))
    }

/** Ready while a routing table and the endpoints are known and no stop was asked for. */
private fun updateGatewayReadiness(state: GatewayState): Step<GatewayState> {
    val ready = state.common.drain == DrainPhase.SERVING && state.published.table != null
    if (ready == state.common.ready) return state.step()
    val next = state.copy(common = state.common.copy(ready = ready))
    val effect = RuntimeEffect.SetReady(ready)
    return if (ready) next.step(logEffect(LogEvent.PROCESS_READY), effect) else next.step(effect)
}

/** Ends a planned stop once nothing is left to serve. */
private fun finishGatewayDrain(state: GatewayState): Step<GatewayState> {
    val idle = state.drainSettled && state.requests.isEmpty()
    if (state.common.drain != DrainPhase.DRAINING || !idle) return state.step()
    return state.copy(common = state.common.copy(drain = DrainPhase.FINISHED))
        .step(logEffect(LogEvent.DRAIN_FINISHED), RuntimeEffect.Exit(0))
}

/** The balancer asks once a second and leaves a process out after two refusals. */
private val BALANCER_TIME = 2500.milliseconds

/** Applies a step to the shared state. */
internal inline fun GatewayState.onCommon(
    change: (CommonState) -> Step<CommonState>
): Step<GatewayState> = change(common).map { if (it === common) this else copy(common = it) }
