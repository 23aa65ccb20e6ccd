/*
 * Observations of the pace of endpoints in the answers of attempts.
 *
 * Work that the gateway does not know of delays the first event of a stream or a pause within it; a
 * slow endpoint delays both. An observation is therefore the smaller of the two ratios. An answer
 * to which helpers contributed is not counted, because the delay may be that of any of them. Health
 * checks are no attempts and never count.
 */
package org.gypsumroute.core.gateway.endpoints

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.HttpStatuses
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.Attempt
import org.gypsumroute.core.gateway.attempts.ForwardRecord
import org.gypsumroute.core.gateway.attempts.knownLoad
import org.gypsumroute.core.gateway.exchange.recentPeerReports
import org.gypsumroute.core.gateway.placement.EngineModel
import org.gypsumroute.core.gateway.placement.ForwardChoice
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step

/** What the model and the known load predict for a request; null without a model. */
internal fun expectedTimes(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice
): ExpectedTimes? {
    val profile = state.published.table?.services?.get(record.service)?.engine ?: return null
    val endpoint = state.endpoints[choice.endpoint] ?: return null
    val load = knownLoad(endpoint, recentPeerReports(state))
    val pass = EngineModel(profile)
        .passTime(load.decodingRequests + 1, load.context + record.size.context)
    return ExpectedTimes(choice.modelFirstByte, pass)
}

/** Takes the times of a complete answer into account for the endpoint that gave it. */
internal fun observePace(
    state: GatewayState,
    record: ForwardRecord,
    attempt: Attempt,
    outcome: AttemptOutcome
): Step<GatewayState> {
    val endpoint = state.endpoints[attempt.endpoint] ?: return state.step()
    val isOfThisStart = endpoint.record.startedAt == attempt.startedAt
    val ratio = observedRatio(state, record, attempt, outcome)
    if (ratio == null || !isOfThisStart) return state.step()
    val updated = endpoint.copy(pace = endpoint.pace.plus(state.common.now, ratio))
    val next = state.copy(endpoints = state.endpoints.put(attempt.endpoint, updated))
    val before = paceOf(state, attempt.endpoint)
    val after = paceOf(next, attempt.endpoint)
    val turned = (before == AS_EXPECTED) != (after == AS_EXPECTED)
    return if (turned) next.step(paceLog(attempt, after)) else next.step()
}

private fun paceLog(attempt: Attempt, pace: Double) = logEffect(
    LogEvent.ENDPOINT_PACE_CHANGED,
    "endpoint" to attempt.endpoint,
    "endpoint_start" to attempt.startedAt?.milliseconds,
    "pace" to pace
)

/** How many times as long as expected an answer took; null if it does not tell. */
private fun observedRatio(
    state: GatewayState,
    record: ForwardRecord,
    attempt: Attempt,
    outcome: AttemptOutcome
): Double? {
    if (outcome !is AttemptOutcome.Completed || outcome.status !in HttpStatuses.SUCCESS) return null
    val isEngine = state.published.table?.services?.get(record.service)?.engine != null
    return if (isEngine) {
        streamRatio(attempt, outcome)
    } else {
        (state.common.now - attempt.sentAt) over record.route.objective
    }
}

private fun streamRatio(attempt: Attempt, outcome: AttemptOutcome.Completed): Double? {
    val expected = attempt.expectedTimes ?: return null
    val firstEventAt = attempt.firstEventAt ?: return null
    val hasPause = outcome.longestPause > Duration.ZERO
    if (!hasPause || attempt.helpers.isNotEmpty()) return null
    return minOf(
        (firstEventAt - attempt.sentAt) over expected.firstEvent,
        outcome.longestPause over expected.pause
    )
}

/** The ratio of two times, both at least [SHORTEST_TIME], so that it is finite and positive. */
private infix fun Duration.over(expected: Duration): Double =
    coerceAtLeast(SHORTEST_TIME) / expected.coerceAtLeast(SHORTEST_TIME)

/** Resolution of the clock. */
private val SHORTEST_TIME: Duration = 1.milliseconds
