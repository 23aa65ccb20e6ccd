/*
 * What follows from the events of an attempt: another attempt, or the end of the request.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Moment
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then

internal fun reduceStreamBegun(
    state: GatewayState,
    event: ForwardEvent.StreamBegun
): Step<GatewayState> {
    val record = state.requests[event.request] ?: return state.step()
    val attempt = record.attempt?.takeIf { it.id == event.attempt } ?: return state.step()
    var endpoints = state.endpoints
    for (id in attempt.helpers + attempt.endpoint) {
        endpoints[id]?.let { endpoints = endpoints.put(id, it.afterReading(event.request)) }
    }
    val next = record.copy(
        begun = true,
        begunAt = record.begunAt ?: state.common.now,
        mayHaveRun = true
    )
    return state.copy(
        requests = state.requests.put(event.request, next),
        endpoints = endpoints
    ).step()
}

internal fun reduceAttemptEnded(
    state: GatewayState,
    event: ForwardEvent.AttemptEnded
): Step<GatewayState> {
    val record = state.requests[event.request] ?: return state.step()
    val attempt = record.attempt?.takeIf { it.id == event.attempt } ?: return state.step()
    val outcome = event.outcome
    val freed = noteOutcome(releaseWork(state, record, attempt), attempt, outcome)
    if (outcome is AttemptOutcome.Completed) {
        return endServed(freed, record, attempt, outcome)
            .then { it.step(countAttempt(record, outcome)) }
    }
    val unsent = outcome is AttemptOutcome.NeverSent
    val detached = record.copy(
        attempt = null,
        reservations = record.reservations.clear(),
        sends = if (unsent) record.sends - 1 else record.sends,
        mayHaveRun = record.mayHaveRun || mayHaveRun(outcome),
        begun = record.begun || outcome is AttemptOutcome.Broken,
        failureHeld = record.failureHeld || outcome is AttemptOutcome.Failed
    )
    return releaseReservations(freed, record)
        .then {
            it.step(attemptLog(record, attempt.endpoint, outcome), countAttempt(record, outcome))
        }
        .then { afterFailure(it, detached, outcome) }
}

/** Tries once more where that is allowed; otherwise tells the caller. */
private fun afterFailure(
    state: GatewayState,
    record: ForwardRecord,
    outcome: AttemptOutcome
): Step<GatewayState> {
    val choice = if (mayRepeat(state, record)) {
        state.policies.placement(questionFor(state, record))
    } else {
        null
    }
    return when {
        choice != null -> reserveOrSend(state, record, choice)
        record.failureHeld && !record.begun -> endWithHeldFailure(state, record, causeOf(outcome))
        record.mayHaveRun -> endWithError(state, record, ErrorKind.ENDPOINT_LOST, causeOf(outcome))
        else -> endWithError(state, record, ErrorKind.ENDPOINT_REFUSED, causeOf(outcome))
    }
}

private fun mayRepeat(state: GatewayState, record: ForwardRecord): Boolean {
    val repetition = record.route.repetition
    val harmless = !record.mayHaveRun || repetition != Repetition.AT_MOST_ONCE
    val possible = !record.begun || repetition == Repetition.RESUMABLE
    return harmless && possible && record.sends < record.route.maxAttempts &&
        record.deadline - state.common.now > SHORTEST_ATTEMPT && budgetAllows(state, record)
}

/** Whether the retry budget lets the request be sent once more. */
internal fun budgetAllows(state: GatewayState, record: ForwardRecord): Boolean {
    if (record.sends == 0) return true
    val bounds = state.bounds
    val budget = state.retryBudgets[record.service] ?: RetryBudget()
    return budget.allows(
        state.common.now,
        bounds.retryWindow,
        bounds.retryRatio,
        allowanceOf(state)
    )
}

/**
 * This gateway's share of the fixed allowance. What a process repeated before a restart still
 * counts, so the share grows over the first window.
 */
private fun allowanceOf(state: GatewayState): Double {
    val grown = ((state.common.now - Moment.START) / state.bounds.retryWindow).coerceAtMost(1.0)
    return state.bounds.retryAllowance * ALLOWANCE_SHARE * grown / state.gateways
}

/** Part of the allowance that is used; the rest covers gateways that are not known yet. */
private const val ALLOWANCE_SHARE = 0.8

private fun noteOutcome(
    state: GatewayState,
    attempt: Attempt,
    outcome: AttemptOutcome
): GatewayState {
    val now = state.common.now
    val faultyAddress = (outcome as? AttemptOutcome.NotRun)?.faultyAddress
    var endpoints = state.endpoints
    endpoints[attempt.endpoint]?.let { endpoint ->
        val misdirected = outcome is AttemptOutcome.NotRun && outcome.misdirected
        val noted = endpoint.copy(
            health = healthAfter(endpoint.health, now, outcome),
            misdirected = endpoint.misdirected || (misdirected && faultyAddress == null)
        )
        endpoints = endpoints.put(attempt.endpoint, noted)
    }
    endpoints.values.find { it.record.address == faultyAddress }?.let { blamed ->
        val health = blamed.health.afterSilence(now)
        endpoints = endpoints.put(blamed.record.id, blamed.copy(health = health))
    }
    return state.copy(endpoints = endpoints)
}

private fun healthAfter(
    health: EndpointHealth,
    now: Moment,
    outcome: AttemptOutcome
): EndpointHealth = when (outcome) {
    is AttemptOutcome.Completed, is AttemptOutcome.NotRun -> health.afterAnswer(now)
    is AttemptOutcome.Failed -> health.afterFailure(now)
    is AttemptOutcome.Lost, is AttemptOutcome.Broken -> health.afterSilence(now)
    is AttemptOutcome.NeverSent -> health.afterUnreachable(now)
}

private fun mayHaveRun(outcome: AttemptOutcome): Boolean = when (outcome) {
    is AttemptOutcome.NotRun, is AttemptOutcome.NeverSent -> false
    else -> true
}

private fun causeOf(outcome: AttemptOutcome): String = when (outcome) {
    is AttemptOutcome.Completed -> "completed"
    is AttemptOutcome.Failed -> "endpoint answered ${outcome.status}"
    is AttemptOutcome.NotRun -> "endpoint answered ${outcome.status} without running it"
    is AttemptOutcome.NeverSent -> outcome.cause
    is AttemptOutcome.Lost -> outcome.cause
    is AttemptOutcome.Broken -> outcome.cause
}

private fun attemptLog(record: ForwardRecord, endpoint: EndpointId, outcome: AttemptOutcome) =
    logEffect(
        LogEvent.ATTEMPT_FAILED,
        "request" to record.head.callerRequestId,
        "attempt" to record.sends,
        "endpoint" to endpoint,
        "outcome" to outcome.javaClass.simpleName,
        "cause" to causeOf(outcome),
        "faulty" to (outcome as? AttemptOutcome.NotRun)?.faultyAddress
    )

private val SHORTEST_ATTEMPT: Duration = 20.milliseconds
