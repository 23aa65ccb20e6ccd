/*
 * The ways in which a forwarded request ends.
 */
package org.gypsumroute.core.gateway.attempts

import kotlin.time.Duration
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.Effect
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.ENDPOINT_FAILED
import org.gypsumroute.core.gateway.SERVED
import org.gypsumroute.core.gateway.admission.WaitEnd
import org.gypsumroute.core.gateway.admission.endWait
import org.gypsumroute.core.gateway.countCallerLeft
import org.gypsumroute.core.gateway.measureEnd
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

/** Ends a request whose whole answer was passed on. */
internal fun endServed(
    state: GatewayState,
    record: ForwardRecord,
    attempt: Attempt,
    outcome: AttemptOutcome.Completed
): Step<GatewayState> {
    val now = state.common.now
    return closeRequest(state, record, SERVED).andThen(
        logEffect(
            LogEvent.REQUEST_SERVED,
            "request" to record.head.callerRequestId,
            "route" to record.route.name,
            "endpoint" to attempt.endpoint,
            "status" to outcome.status,
            "attempts" to record.sendCount,
            "prompt_tokens" to record.size.prompt,
            "first_event" to record.firstEventAt?.let { it - record.arrivedAt },
            "longest_pause" to outcome.longestPause,
            "took" to (now - record.arrivedAt)
        )
    )
}

/** Ends a request with the failure answer of an endpoint. */
internal fun endWithHeldFailure(
    state: GatewayState,
    record: ForwardRecord,
    detail: String
): Step<GatewayState> = closeRequest(state, record, ENDPOINT_FAILED).andThen(
    logEffect(
        LogEvent.REQUEST_FAILED,
        "request" to record.head.callerRequestId,
        "route" to record.route.name,
        "kind" to ENDPOINT_FAILED,
        "run" to RunState.UNKNOWN.code,
        "detail" to detail,
        "attempts" to record.sendCount,
        "took" to (state.common.now - record.arrivedAt)
    ),
    ForwardEffect.RelayFailure(record.request)
)

/**
 * Ends a request with an error, or breaks off its answer if a part was already passed on. A kind
 * whose status promises that nothing ran is replaced if the request may have run.
 */
internal fun endWithError(
    state: GatewayState,
    record: ForwardRecord,
    error: ErrorKind,
    detail: String,
    retryAfter: Duration = retryAfterOf(state, record)
): Step<GatewayState> {
    val promisesNotRun = error.runState == RunState.NOT_RUN
    val kind = if (record.mayHaveRun && promisesNotRun) ErrorKind.ENDPOINT_LOST else error
    val runState = if (record.mayHaveRun) RunState.UNKNOWN else RunState.NOT_RUN
    val advice = retryAfter.takeIf { runState == RunState.NOT_RUN }
    val effect = if (record.answerStarted) {
        ForwardEffect.Cut(record.request)
    } else {
        ForwardEffect.Refuse(record.request, Failure(kind, detail, runState, advice))
    }
    return closeRequest(state, record, kind.code).andThen(
        logEffect(
            if (record.mayHaveRun) LogEvent.REQUEST_FAILED else LogEvent.REQUEST_REFUSED,
            "request" to record.head.callerRequestId,
            "route" to record.route.name,
            "kind" to kind.code,
            "run" to runState.code,
            "detail" to detail,
            "attempts" to record.sendCount,
            "begun" to record.answerStarted,
            "took" to (state.common.now - record.arrivedAt)
        ),
        effect
    )
}

/** Records a request that was dropped because its caller had left before it was read. */
internal fun reduceWithdrawn(
    state: GatewayState,
    event: ForwardEvent.Withdrawn
): Step<GatewayState> = state.step(
    logEffect(
        LogEvent.CALLER_LEFT,
        "request" to event.head.callerRequestId,
        "stage" to CallerLeftStage.UNREAD.code
    ),
    countCallerLeft(CallerLeftStage.UNREAD)
)

internal fun reduceCallerLeft(state: GatewayState, request: RequestId): Step<GatewayState> {
    val record = state.requests[request] ?: return state.step()
    val stage = when {
        record.answerStarted -> CallerLeftStage.ANSWERED_IN_PART
        record.openAttempts.isNotEmpty() -> CallerLeftStage.SENT
        else -> CallerLeftStage.WAITING
    }
    return closeRequest(state, record, ErrorKind.CALLER_LEFT.code).andThen(
        logEffect(
            LogEvent.CALLER_LEFT,
            "request" to record.head.callerRequestId,
            "route" to record.route.name,
            "endpoint" to record.attempt?.endpoint,
            "stage" to stage.code,
            "took" to (state.common.now - record.arrivedAt)
        ),
        countCallerLeft(stage)
    )
}

/** Ends a request whose deadline has passed. */
internal fun reduceForwardDeadline(state: GatewayState, request: RequestId): Step<GatewayState> {
    val record = state.requests[request] ?: return state.step()
    val ended = record.copy(mayHaveRun = record.mayHaveRun || record.attempt != null)
    return endWithError(
        state,
        ended,
        ErrorKind.DEADLINE_EXCEEDED,
        "the time of the request is over"
    )
}

/** Stops an attempt and removes its work; its end is not reported. */
internal fun abandonAttempt(
    state: GatewayState,
    record: ForwardRecord,
    attempt: Attempt
): Step<GatewayState> = releaseWork(state, record, attempt)
    .step(ForwardEffect.Abandon(record.request, attempt.id))

/** Removes the request's work from its endpoint and helpers. */
internal fun releaseWork(
    state: GatewayState,
    record: ForwardRecord,
    attempt: Attempt
): GatewayState {
    var endpoints = state.endpoints
    for (id in attempt.helpers + attempt.endpoint) {
        val endpoint = endpoints[id] ?: continue
        endpoints = endpoints.put(id, endpoint.copy(work = endpoint.work.remove(record.request)))
    }
    return state.copy(endpoints = endpoints)
}

/**
 * Removes the request, stops its open attempts, releases the memory reserved for it and records its
 * metrics.
 */
internal fun closeRequest(
    state: GatewayState,
    record: ForwardRecord,
    outcome: String
): Step<GatewayState> = state.step().thenEach(record.openAttempts) { next, attempt ->
    abandonAttempt(next, record, attempt)
}.then { releaseReservations(it, record) }.then { endWait(it, record, WaitEnd.ENDED) }.then {
    Step(
        it.copy(requests = it.requests.remove(record.request)),
        measureEnd(record, outcome, it.common.now - record.arrivedAt) +
            RuntimeEffect.CancelTimer(TimerId.ForwardDeadline(record.request))
    )
}

private fun Step<GatewayState>.andThen(vararg effects: Effect): Step<GatewayState> =
    then { it.step(*effects) }
