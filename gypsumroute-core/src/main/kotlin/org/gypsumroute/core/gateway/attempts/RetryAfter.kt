/*
 * When a caller may send a request again that did not run.
 */
package org.gypsumroute.core.gateway.attempts

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Moment
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.admission.shortageRetryAfter
import org.gypsumroute.core.gateway.endpoints.timeUntilPauseEnds
import org.gypsumroute.core.gateway.exchange.Member
import org.gypsumroute.core.gateway.exchange.recentPeerReports
import org.gypsumroute.core.gateway.exchange.reportsAt
import org.gypsumroute.core.gateway.refusesNew

/** Time after which a caller may send a request again that did not run. */
val RETRY_AFTER: Duration = 500.milliseconds

/**
 * Time after which a gateway is expected to accept the request. A gateway that stops sends callers
 * to another one if there is one that is ready, else to the first that is expected to be back.
 */
internal fun retryAfter(state: GatewayState): Duration = when {
    !refusesNew(state) -> RETRY_AFTER
    otherGatewayReady(state) -> RETRY_AFTER_AT_OTHER_GATEWAY
    else -> timeUntilGatewayReturns(state)
}

/** The same for one request, which endpoints may not want, or not have room for, for longer. */
internal fun retryAfterOf(state: GatewayState, record: ForwardRecord): Duration {
    if (refusesNew(state)) return retryAfter(state)
    val pause = timeUntilPauseEnds(state, record) ?: Duration.ZERO
    return maxOf(shortageRetryAfter(state, record) ?: RETRY_AFTER, pause)
}

/** Whether another gateway is known to accept new requests. */
internal fun otherGatewayReady(state: GatewayState): Boolean =
    recentPeerReports(state).any { it.ready }

private fun timeUntilGatewayReturns(state: GatewayState): Duration {
    val members = state.exchange.members.values
    val firstReturn = (members.map { expectedReturn(state, it) } + expectedOwnReturn(state)).min()
    return (firstReturn - state.common.now).coerceAtLeast(RETRY_AFTER)
}

/** A gateway that stops reports until its process ends, so a silent one is starting again. */
private fun expectedReturn(state: GatewayState, member: Member): Moment {
    val now = state.common.now
    val reports = reportsAt(now, member)
    val stoppingSince = member.stoppingSince
    return when {
        !reports -> member.lastReportAt + RESTART_TIME
        stoppingSince == null -> now
        else -> maxOf(stoppingSince + USUAL_STOP_TIME, now) + RESTART_TIME
    }
}

private fun expectedOwnReturn(state: GatewayState): Moment {
    val now = state.common.now
    val stoppingSince = state.drainStartedAt ?: now
    return maxOf(stoppingSince + USUAL_STOP_TIME, now) + RESTART_TIME
}

private val RETRY_AFTER_AT_OTHER_GATEWAY: Duration = 50.milliseconds

/** Time from the start of a planned stop until the last open request has usually ended. */
private val USUAL_STOP_TIME: Duration = 5.seconds

/** Time from the end of a gateway's process until it is ready again. */
private val RESTART_TIME: Duration = 2.seconds
