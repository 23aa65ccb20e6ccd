/*
 * Events of an attempt, and what follows its end: a retry, or the end of the request.
 */
package org.gypsumroute.core.gateway.attempts

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.HttpStatuses
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Moment
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.admission.reviewSoon
import org.gypsumroute.core.gateway.countAttempt
import org.gypsumroute.core.gateway.crashes.endBlocked
import org.gypsumroute.core.gateway.crashes.findBlockedPart
import org.gypsumroute.core.gateway.crashes.hasUnprovenPart
import org.gypsumroute.core.gateway.crashes.noteAnswered
import org.gypsumroute.core.gateway.crashes.noteConnectionLost
import org.gypsumroute.core.gateway.endpoints.EndpointHealth
import org.gypsumroute.core.gateway.endpoints.isPaused
import org.gypsumroute.core.gateway.endpoints.observePace
import org.gypsumroute.core.gateway.endsBeforeStop
import org.gypsumroute.core.gateway.exchange.gatewayCount
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then

/** The answer has begun even if its attempt was stopped just after that. */
internal fun reduceStreamBegun(
    state: GatewayState,
    event: ForwardEvent.StreamBegun
): Step<GatewayState> {
    val record = state.requests[event.request] ?: return state.step()
    val attempt = record.attempt?.takeIf { it.id == event.attempt }
    var endpoints = state.endpoints
    for (id in attempt?.let { it.helpers + it.endpoint }.orEmpty()) {
        endpoints[id]?.let { endpoints = endpoints.put(id, it.afterPrefill(event.request)) }
    }
    val next = record.copy(
        attempt = attempt?.copy(firstEventAt = state.common.now) ?: record.attempt,
        answerStarted = true,
        firstEventAt = record.firstEventAt ?: state.common.now,
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
    val attempt = record.openAttempts.find { it.id == event.attempt } ?: return state.step()
    return endAttempt(state, record, attempt, event.outcome)
        .then { reviewSoon(it, record.service) }
}

private fun endAttempt(
    state: GatewayState,
    record: ForwardRecord,
    attempt: Attempt,
    outcome: AttemptOutcome
): Step<GatewayState> {
    val released = recordOutcome(releaseWork(state, record, attempt), attempt, outcome)
    if (outcome is AttemptOutcome.Completed) {
        return observePace(released, record, attempt, outcome)
            .then { noteOwnAnswer(it, record, outcome) }
            .then { endServed(it, record.withoutAttempt(attempt), attempt, outcome) }
            .then { it.step(countAttempt(record, outcome)) }
    }
    return released
        .step(attemptLog(record, attempt.endpoint, outcome), countAttempt(record, outcome))
        .then { if (outcome.connectionLost) noteConnectionLost(it, record, attempt) else it.step() }
        .then { next ->
            if (attempt == record.stalledAttempt) {
                val replaced = record.withoutAttempt(attempt)
                next.copy(requests = next.requests.put(record.request, replaced)).step()
            } else {
                reduceFailedAttempt(next, record, outcome)
            }
        }
}

/** A stream without a single event may have been broken off before its first one. */
private fun noteOwnAnswer(
    state: GatewayState,
    record: ForwardRecord,
    outcome: AttemptOutcome.Completed
): Step<GatewayState> {
    val isAnswer = outcome.status in HttpStatuses.SUCCESS &&
        (!record.route.streaming || record.firstEventAt != null)
    return if (isAnswer) noteAnswered(state, record) else state.step()
}

private fun reduceFailedAttempt(
    state: GatewayState,
    record: ForwardRecord,
    outcome: AttemptOutcome
): Step<GatewayState> {
    val neverSent = outcome is AttemptOutcome.NeverSent
    val withoutAttempt = record.copy(
        attempt = null,
        reservations = record.reservations.clear(),
        sendCount = if (neverSent) record.sendCount - 1 else record.sendCount,
        mayHaveRun = record.mayHaveRun || mayHaveRun(outcome),
        answerStarted = record.answerStarted || outcome is AttemptOutcome.Broken,
        failureAnswerHeld = record.failureAnswerHeld || outcome is AttemptOutcome.Failed
    )
    return releaseReservations(state, record).then { retryOrFail(it, withoutAttempt, outcome) }
}

/** Sends the request again if that is allowed and possible; otherwise ends it with an error. */
private fun retryOrFail(
    state: GatewayState,
    record: ForwardRecord,
    outcome: AttemptOutcome
): Step<GatewayState> {
    val choice = if (mayRetry(state, record)) {
        state.policies.placement(placementInputFor(state, record))
    } else {
        null
    }
    val blocked = if (choice == null) findBlockedPart(state, record) else null
    return when {
        choice != null -> reserveOrSend(state, record, choice)

        record.stalledAttempt != null -> continueStalled(state, record)

        blocked != null -> endBlocked(state, record, blocked)

        record.failureAnswerHeld && !record.answerStarted ->
            endWithHeldFailure(state, record, causeOf(outcome))

        record.mayHaveRun -> endWithError(state, record, ErrorKind.ENDPOINT_LOST, causeOf(outcome))

        else -> endWithError(state, record, ErrorKind.ENDPOINT_REFUSED, causeOf(outcome))
    }
}

internal fun mayRetry(state: GatewayState, record: ForwardRecord): Boolean {
    val repetition = record.route.repetition
    val safeToRunAgain = !record.mayHaveRun || repetition != Repetition.AT_MOST_ONCE
    val answerAllowsRetry = !record.answerStarted || repetition == Repetition.RESUMABLE
    return safeToRunAgain && answerAllowsRetry && endsBeforeStop(state, record) &&
        record.sendCount < record.route.maxAttempts &&
        record.deadline - state.common.now > MIN_ATTEMPT_TIME &&
        retryBudgetAllows(state, record) && findBlockedPart(state, record) == null &&
        !hasUnprovenPart(state, record)
}

/** Whether the retry budget of the service lets the request be sent again. */
internal fun retryBudgetAllows(state: GatewayState, record: ForwardRecord): Boolean {
    if (record.sendCount == 0) return true
    val bounds = state.bounds
    val budget = state.retryBudgets[record.service] ?: RetryBudget()
    return budget.allows(
        state.common.now,
        bounds.retryWindow,
        bounds.retryRatio,
        allowanceShare(state)
    )
}

/**
 * This gateway's share of the fixed allowance for retries. Retries that the process sent before a
 * restart still count towards the limit, so the share grows from 0 over the first window.
 */
private fun allowanceShare(state: GatewayState): Double {
    val grownShare =
        ((state.common.now - Moment.START) / state.bounds.retryWindow).coerceAtMost(1.0)
    return state.bounds.retryAllowance * USED_ALLOWANCE_SHARE * grownShare / state.gatewayCount
}

/** Share of the allowance that is used; the rest covers gateways that are not yet known. */
private const val USED_ALLOWANCE_SHARE = 0.8

/** Updates the health of the attempt's endpoint and of one that the answer named as faulty. */
private fun recordOutcome(
    state: GatewayState,
    attempt: Attempt,
    outcome: AttemptOutcome
): GatewayState {
    val now = state.common.now
    val faultyAddress = (outcome as? AttemptOutcome.NotRun)?.faultyAddress
    var endpoints = state.endpoints
    endpoints[attempt.endpoint]?.let { endpoint ->
        val misdirected = outcome is AttemptOutcome.NotRun && outcome.misdirected
        // An endpoint that asks for a pause is in order, also if its refusal promises nothing.
        val asksForPause = isPaused(state, endpoint) && !outcome.connectionLost
        val updated = endpoint.copy(
            health = if (asksForPause) {
                endpoint.health
            } else {
                healthAfter(
                    endpoint.health,
                    now,
                    outcome
                )
            },
            misdirected = endpoint.misdirected || (misdirected && faultyAddress == null)
        )
        endpoints = endpoints.put(attempt.endpoint, updated)
    }
    endpoints.values.find { it.record.address == faultyAddress }?.let { faultyEndpoint ->
        val health = faultyEndpoint.health.afterLostAnswer(now)
        endpoints = endpoints.put(faultyEndpoint.record.id, faultyEndpoint.copy(health = health))
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
    is AttemptOutcome.Lost, is AttemptOutcome.Broken -> health.afterLostAnswer(now)
    is AttemptOutcome.NeverSent -> health.afterUnreachable(now)
}

private fun mayHaveRun(outcome: AttemptOutcome): Boolean = when (outcome) {
    is AttemptOutcome.NotRun, is AttemptOutcome.NeverSent -> false
    else -> true
}

private val AttemptOutcome.connectionLost: Boolean
    get() = when (this) {
        is AttemptOutcome.Lost -> connectionLost
        is AttemptOutcome.Broken -> connectionLost
        else -> false
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
        "attempt" to record.sendCount,
        "endpoint" to endpoint,
        "outcome" to outcome.javaClass.simpleName,
        "cause" to causeOf(outcome),
        "faulty" to (outcome as? AttemptOutcome.NotRun)?.faultyAddress
    )

/** Least time until the deadline with which a request is sent again. */
private val MIN_ATTEMPT_TIME: Duration = 20.milliseconds
