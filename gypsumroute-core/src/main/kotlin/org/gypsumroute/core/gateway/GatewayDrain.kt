/*
 * A planned stop of a gateway: not ready at once, then no new connections, then the end.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.DrainPhase
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.reduceDrainRequested
import org.gypsumroute.core.step
import org.gypsumroute.core.then

/**
 * Begins a planned stop. The balancer needs some time to notice, and until then requests are
 * served as before.
 */
internal fun reduceGatewayDrain(state: GatewayState): Step<GatewayState> =
    if (state.common.drain != DrainPhase.SERVING) {
        state.step()
    } else {
        state.copy(drainStartedAt = state.common.now)
            .onCommon { reduceDrainRequested(it) }
            .then { it.step(RuntimeEffect.SetTimer(TimerId.DrainSettled, BALANCER_REACTION_TIME)) }
    }

/**
 * Takes no new connections any more, unless the balancer has no other gateway to send callers to:
 * then this one goes on while there is time.
 */
internal fun stopAcceptingIfReplaced(state: GatewayState): Step<GatewayState> {
    val since = state.drainStartedAt ?: return state.step()
    val left = since + (state.bounds.drainTime - OPEN_REQUESTS_RESERVE) - state.common.now
    val replaced = recentPeerReports(state).any { it.ready }
    return if (replaced || left <= Duration.ZERO) {
        state.copy(acceptingStopped = true).step(
            logEffect(
                LogEvent.CALLERS_CLOSED,
                "requests" to state.requests.size,
                "others_ready" to replaced
            ),
            ForwardEffect.StopAccepting
        )
    } else {
        state.step(RuntimeEffect.SetTimer(TimerId.DrainSettled, minOf(left, RECHECK_INTERVAL)))
    }
}

/** Whether a request that arrives now is likely to end before a planned stop does. */
internal fun canFinishBeforeStop(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice
): Boolean {
    val since = state.drainStartedAt ?: return true
    val now = state.common.now
    if (now - since <= BALANCER_REACTION_TIME) return true
    val figures = state.published.table?.services?.get(record.service)?.engine
    val answer = if (figures == null) {
        record.route.objective
    } else {
        val model = EngineModel(figures)
        val load = state.endpoints[choice.endpoint]?.load()?.context ?: 0
        val pass = model.passTime(model.slots, load + record.size.context)
        choice.expectedFirstByte + model.decodeTime(Tokens(record.size.output), pass)
    }
    return now + answer <= since + state.bounds.drainTime
}

/** Ends a planned stop once nothing is left to serve. */
internal fun finishGatewayDrain(state: GatewayState): Step<GatewayState> {
    val idle = state.acceptingStopped && state.requests.isEmpty()
    if (state.common.drain != DrainPhase.DRAINING || !idle) return state.step()
    return state.copy(common = state.common.copy(drain = DrainPhase.FINISHED))
        .step(logEffect(LogEvent.DRAIN_FINISHED), RuntimeEffect.Exit(0))
}

/** The balancer asks once a second and leaves a process out after two refusals. */
private val BALANCER_REACTION_TIME = 2500.milliseconds

/** Time kept for requests that are open when a gateway without others stops taking more. */
private val OPEN_REQUESTS_RESERVE = 2.seconds
private val RECHECK_INTERVAL = 500.milliseconds
