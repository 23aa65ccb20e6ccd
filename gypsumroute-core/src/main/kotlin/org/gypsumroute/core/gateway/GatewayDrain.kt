/*
 * A planned stop of a gateway: it reports itself as not ready at once, later refuses new requests,
 * and exits once its requests have ended. Its port stays open until then, because closing it would
 * reset connections that callers have opened already.
 *
 * The gateway refuses new requests also if no other one is ready: the earlier it stops taking them,
 * the earlier it is back. Requests that are still open shortly before the process has to end get
 * their answer from the gateway, since the end of the process would cut them off without one.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.drain.DrainPhase
import org.gypsumroute.core.gateway.attempts.ForwardRecord
import org.gypsumroute.core.gateway.attempts.endWithError
import org.gypsumroute.core.gateway.attempts.endWithHeldFailure
import org.gypsumroute.core.gateway.attempts.otherGatewayReady
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.reduceDrainRequested
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

/**
 * Begins a planned stop. The load balancer needs some time to notice that the gateway is not
 * ready; until then requests are served as before. Settings that change later do not move the end
 * of the stop.
 */
internal fun reduceGatewayDrain(state: GatewayState): Step<GatewayState> {
    if (state.common.drain != DrainPhase.SERVING) return state.step()
    val drainTime = state.bounds.drainTime
    val answerReserve = minOf(LAST_ANSWERS_RESERVE, drainTime * LAST_ANSWERS_FRACTION)
    val openTime = drainTime - answerReserve
    val acceptTime = minOf(BALANCER_REACTION_TIME, drainTime * ACCEPT_FRACTION)
    val now = state.common.now
    return state
        .copy(
            drainStartedAt = now,
            acceptsUntil = now + acceptTime,
            drainEndsAt = now + openTime
        )
        .onCommon { reduceDrainRequested(it) }
        .then {
            it.step(
                RuntimeEffect.SetTimer(TimerId.DrainSettled, acceptTime),
                RuntimeEffect.SetTimer(TimerId.DrainEnd, openTime)
            )
        }
}

/**
 * Refuses new requests from now on, those that wait for room at engines, and those that wait for
 * memory, unless their time is over before the stop.
 */
internal fun refuseNew(state: GatewayState): Step<GatewayState> {
    val refusing = state.copy(refusingNew = true)
    val waiting = refusing.requests.values.filter {
        it.openAttempts.isEmpty() && (it.wait != null || !endsBeforeStop(refusing, it))
    }
    return refusing.step(
        logEffect(
            LogEvent.CALLERS_CLOSED,
            "requests" to state.requests.size,
            "others_ready" to otherGatewayReady(state)
        ),
        ForwardEffect.CloseIdleCallers
    ).thenEach(waiting) { next, record ->
        endForStop(next, record)
    }
}

/**
 * Whether new requests are refused because of a planned stop. The clock decides, since the timer
 * may come later than requests that arrived after its time.
 */
internal fun refusesNew(state: GatewayState): Boolean =
    state.refusingNew || state.acceptsUntil.let { it != null && state.common.now >= it }

/**
 * Whether an attempt that starts now is over before the planned stop, whatever its endpoint does.
 * An answer that has started may go on in any case, because it would be cut off otherwise.
 */
internal fun endsBeforeStop(state: GatewayState, record: ForwardRecord): Boolean {
    val drainEndsAt = state.drainEndsAt ?: return true
    return !refusesNew(state) || record.answerStarted || record.deadline <= drainEndsAt
}

/** Ends the requests that are still open shortly before the process has to end. */
internal fun endOpenRequests(state: GatewayState): Step<GatewayState> {
    val open = state.requests.values
    if (open.isEmpty()) return state.step()
    return state.step(
        logEffect(
            LogEvent.DRAIN_EXPIRED,
            "requests" to open.size,
            "begun" to open.count { it.answerStarted },
            "caller_requests" to open.take(MAX_LISTED_REQUESTS)
                .joinToString(" ") { it.head.callerRequestId }
        )
    ).thenEach(open.toList()) { next, record -> endForStop(next, record) }
}

private fun endForStop(state: GatewayState, record: ForwardRecord): Step<GatewayState> {
    val mayHaveRun = record.mayHaveRun || record.openAttempts.isNotEmpty()
    val ended = record.copy(mayHaveRun = mayHaveRun)
    return when {
        ended.failureAnswerHeld && !ended.answerStarted ->
            endWithHeldFailure(state, ended, "the gateway stops")

        mayHaveRun -> endWithError(state, ended, ErrorKind.DRAIN_EXPIRED, "the gateway stops")

        else -> endWithError(state, ended, ErrorKind.DRAINING, "the gateway stops")
    }
}

/** Time left until open requests end because of a planned stop, or null if none has begun. */
internal fun timeUntilStop(state: GatewayState): Duration? =
    state.drainEndsAt?.let { it - state.common.now }

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

/** Largest part of the drain time in which new requests are accepted. */
private const val ACCEPT_FRACTION = 1.0 / 3

/** Time between the end of open requests and that of the process, in which answers are written. */
private val LAST_ANSWERS_RESERVE = 300.milliseconds

/** Largest part of the drain time that is kept for writing answers. */
private const val LAST_ANSWERS_FRACTION = 1.0 / 20

/** More are only counted, so that the log line stays short. */
private const val MAX_LISTED_REQUESTS = 20
