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
    if (outcome is AttemptOutcome.Completed) return endServed(freed, record, attempt, outcome)
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
        .then { it.step(attemptLog(record, attempt.endpoint, outcome)) }
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
        record.failureHeld && !record.begun -> endWithHeldFailure(state, record)
        record.mayHaveRun -> endWithError(state, record, ErrorKind.ENDPOINT_LOST, causeOf(outcome))
        else -> endWithError(state, record, ErrorKind.ENDPOINT_REFUSED, causeOf(outcome))
    }
}

private fun mayRepeat(state: GatewayState, record: ForwardRecord): Boolean {
    val repetition = record.route.repetition
    val harmless = !record.mayHaveRun || repetition != Repetition.AT_MOST_ONCE
    val possible = !record.begun || repetition == Repetition.RESUMABLE
    return harmless && possible && record.sends < record.route.attempts &&
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
        bounds.retryAllowance.toDouble() / state.gateways
    )
}

private fun noteOutcome(
    state: GatewayState,
    attempt: Attempt,
    outcome: AttemptOutcome
): GatewayState {
    val now = state.common.now
    val faulty = (outcome as? AttemptOutcome.NotRun)?.faulty
    var endpoints = state.endpoints
    endpoints[attempt.endpoint]?.let { endpoint ->
        val misdirected = outcome is AttemptOutcome.NotRun && outcome.misdirected
        val noted = endpoint.copy(
            health = endpoint.health.after(now, failureWeight(outcome)),
            misdirected = endpoint.misdirected || (misdirected && faulty == null)
        )
        endpoints = endpoints.put(attempt.endpoint, noted)
    }
    val blamed = endpoints.values.find { it.record.address == faulty }
    if (blamed != null) {
        val health = blamed.health.after(now, SURE_FAILURE)
        endpoints = endpoints.put(blamed.record.id, blamed.copy(health = health))
    }
    return state.copy(endpoints = endpoints)
}

/** How much an outcome tells against the endpoint, from 0 to 1. */
private fun failureWeight(outcome: AttemptOutcome): Double = when (outcome) {
    is AttemptOutcome.Completed -> 0.0
    is AttemptOutcome.NotRun -> 0.0
    is AttemptOutcome.Failed -> 1.0
    is AttemptOutcome.NeverSent -> SURE_FAILURE
    is AttemptOutcome.Lost -> SURE_FAILURE
    is AttemptOutcome.Broken -> SURE_FAILURE
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
        "request" to record.head.callerId,
        "attempt" to record.sends,
        "endpoint" to endpoint,
        "outcome" to outcome.javaClass.simpleName,
        "cause" to causeOf(outcome),
        "faulty" to (outcome as? AttemptOutcome.NotRun)?.faulty
    )

/** Weight of failures that no sound endpoint shows, such as a refused connection. */
private const val SURE_FAILURE = 2.0
private val SHORTEST_ATTEMPT: Duration = 20.milliseconds
