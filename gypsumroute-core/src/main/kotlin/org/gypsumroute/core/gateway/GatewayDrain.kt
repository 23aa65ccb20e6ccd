/*
 * A planned stop of a gateway: it reports itself as not ready at once, later refuses new requests,
 * and exits once its requests have ended. Its port stays open until then, because closing it would
 * reset connections that callers have opened already.
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
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.drain.DrainPhase
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.reduceDrainRequested
import org.gypsumroute.core.step
import org.gypsumroute.core.then

/**
 * Begins a planned stop. The load balancer needs some time to notice that the gateway is not
 * ready; until then requests are served as before.
 */
internal fun reduceGatewayDrain(state: GatewayState): Step<GatewayState> =
    if (state.common.drain != DrainPhase.SERVING) {
        state.step()
    } else {
        state.copy(drainStartedAt = state.common.now)
            .onCommon { reduceDrainRequested(it) }
            .then {
                it.step(
                    RuntimeEffect.SetTimer(TimerId.DrainSettled, BALANCER_REACTION_TIME),
                    RuntimeEffect.SetTimer(
                        TimerId.DrainEnd,
                        state.bounds.drainTime - LAST_ANSWERS_RESERVE
                    )
                )
            }
    }

/**
 * Refuses new requests from now on. If no other gateway is ready, the load balancer has nowhere
 * else to send callers, so this gateway continues as long as the drain time allows.
 */
internal fun refuseNewIfReplaced(state: GatewayState): Step<GatewayState> {
    val since = state.drainStartedAt ?: return state.step()
    val timeLeft = since + (state.bounds.drainTime - OPEN_REQUESTS_RESERVE) - state.common.now
    val otherReady = recentPeerReports(state).any { it.ready }
    return if (otherReady || timeLeft <= Duration.ZERO) {
        state.copy(refusingNew = true).step(
            logEffect(
                LogEvent.CALLERS_CLOSED,
                "requests" to state.requests.size,
                "others_ready" to otherReady
            ),
            ForwardEffect.CloseIdleCallers
        )
    } else {
        state.step(RuntimeEffect.SetTimer(TimerId.DrainSettled, minOf(timeLeft, RECHECK_INTERVAL)))
    }
}

/** Logs the requests that are still open shortly before the process has to end. */
internal fun reduceDrainEnd(state: GatewayState): Step<GatewayState> {
    if (state.requests.isEmpty()) return state.step()
    return state.step(
        logEffect(
            LogEvent.DRAIN_EXPIRED,
            "requests" to state.requests.size,
            "begun" to state.requests.values.count { it.answerStarted },
            "caller_requests" to state.requests.values
                .take(MAX_LISTED_REQUESTS)
                .joinToString(" ") { it.head.callerRequestId }
        )
    )
}

/** Time left until the end of the planned stop, or null if none has begun. */
internal fun timeUntilStop(state: GatewayState): Duration? =
    state.drainStartedAt?.let { it + state.bounds.drainTime - state.common.now }

/** Whether a request that arrives now is expected to end before the drain time is over. */
internal fun canFinishBeforeStop(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice
): Boolean {
    val since = state.drainStartedAt ?: return true
    val now = state.common.now
    if (now - since <= BALANCER_REACTION_TIME) return true
    return now + predictedTime(state, record, choice) <= since + state.bounds.drainTime
}

/** Predicted time until the end of the answer. */
internal fun predictedTime(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice
): Duration {
    val profile = state.published.table?.services?.get(record.service)?.engine
        ?: return record.route.objective
    val model = EngineModel(profile)
    val load = state.endpoints[choice.endpoint]?.ownLoad()?.context ?: 0
    val pass = model.passTime(model.slots, load + record.size.context)
    return choice.predictedFirstByte + model.decodeTime(Tokens(record.size.output), pass)
}

/** Exits once new requests are refused and all others have ended. */
internal fun finishGatewayDrain(state: GatewayState): Step<GatewayState> {
    val idle = state.refusingNew && state.requests.isEmpty()
    if (state.common.drain != DrainPhase.DRAINING || !idle) return state.step()
    return state.copy(common = state.common.copy(drain = DrainPhase.FINISHED))
        .step(logEffect(LogEvent.DRAIN_FINISHED), RuntimeEffect.Exit(0))
}

/**
 * Time within which the load balancer notices that the gateway is not ready: it probes once a
 * second and takes a process out after two failed probes.
 */
private val BALANCER_REACTION_TIME = 2500.milliseconds

/** Time between the end of open requests and that of the process, in which answers are written. */
private val LAST_ANSWERS_RESERVE = 300.milliseconds

/** More are only counted, so that the log line stays short. */
private const val MAX_LISTED_REQUESTS = 20

/** Part of the drain time that is kept for open requests if no other gateway becomes ready. */
private val OPEN_REQUESTS_RESERVE = 2.seconds

/** Interval at which a draining gateway checks whether another one is ready. */
private val RECHECK_INTERVAL = 500.milliseconds
