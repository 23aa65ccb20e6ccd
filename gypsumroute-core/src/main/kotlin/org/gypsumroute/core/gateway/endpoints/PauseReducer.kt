/*
 * Endpoints that turn a request away and ask this gateway for a pause.
 *
 * Nothing goes to such an endpoint until the pause is over, and after it requests come at a rate
 * that grows, so that those that other endpoints took meanwhile do not all come back at once. A
 * pause concerns this gateway only: the endpoint may still want the requests of others. It is no
 * failure of the endpoint.
 */
package org.gypsumroute.core.gateway.endpoints

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.EndpointStatement
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Moment
import org.gypsumroute.api.StatementKind
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.ForwardRecord
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step

internal fun reducePauseStated(
    state: GatewayState,
    event: ForwardEvent.EndpointStated,
    pause: EndpointStatement.Pause
): Step<GatewayState> {
    val endpoint = state.endpoints[event.endpoint]
    val start = EndpointStart(event.endpoint, event.startedAt)
    val known = state.pauses[start] ?: Moment.START
    val until = state.common.now + pause.time
    val isOfOtherStart = endpoint != null && endpoint.record.startedAt != event.startedAt
    if (isOfOtherStart || until <= known) return state.step()
    return state.copy(pauses = state.pauses.put(start, until)).step(
        logEffect(
            LogEvent.ENDPOINT_PAUSES,
            "endpoint" to event.endpoint,
            "source" to OWN_SOURCE,
            "for" to pause.time
        ),
        countBelieved(StatementKind.PAUSE.code)
    )
}

/** Until when the endpoint wants nothing from this gateway; the start of time if it never said. */
internal fun pausedUntil(state: GatewayState, endpoint: EndpointState): Moment =
    state.pauses[EndpointStart(endpoint.record.id, endpoint.record.startedAt)] ?: Moment.START

/** Whether the endpoint wants nothing from this gateway now. */
internal fun isPaused(state: GatewayState, endpoint: EndpointState): Boolean =
    state.common.now < pausedUntil(state, endpoint)

/** Whether one more request fits into the rate that grows after a pause. */
internal fun pauseAllows(state: GatewayState, endpoint: EndpointState): Boolean {
    val now = state.common.now
    val until = pausedUntil(state, endpoint)
    if (now < until) return false
    val elapsed = now - until
    if (until == Moment.START || elapsed >= GROWTH_TIME) return true
    val rate = FIRST_REQUESTS_PER_SECOND * GROWTH.pow(elapsed / GROWTH_STEP)
    return endpoint.recentSends.allows(now, rate)
}

/** Forgets pauses that are over, together with the time in which the rate grows after them. */
internal fun withoutOldPauses(state: GatewayState): GatewayState {
    val old = state.pauses.filterValues { state.common.now - it > GROWTH_TIME }
    if (old.isEmpty()) return state
    val left = state.pauses.builder().apply { keys.removeAll(old.keys) }
    return state.copy(pauses = left.build())
}

/**
 * The time until the first endpoint that could serve the request wants requests again, or null if
 * one of them wants some now, or if there is none.
 */
internal fun timeUntilPauseEnds(state: GatewayState, record: ForwardRecord): Duration? {
    val now = state.common.now
    val serving = state.endpoints.values.filter { acceptsNewRequests(state, record, it) }
    val firstEnd = serving.minOfOrNull { pausedUntil(state, it) } ?: return null
    return (firstEnd - now).takeIf { it > Duration.ZERO }
}

private const val FIRST_REQUESTS_PER_SECOND = 2.0
private const val GROWTH = 2.0
private val GROWTH_STEP: Duration = 1.seconds

/** After it the rate is beyond what one gateway sends to one endpoint. */
private val GROWTH_TIME: Duration = 5.seconds
