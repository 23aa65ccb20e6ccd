/*
 * Handles callers' requests from the arrival of their headers to their admission or refusal, and
 * the events by which a caller ends a request: it disconnects or has taken the whole answer.
 */
package org.gypsumroute.core.admission

import arrow.core.Either
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.WorkKind
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.MAX_RETRY_BUDGET
import org.gypsumroute.core.actions.placeAction
import org.gypsumroute.core.documents.bufferBudget
import org.gypsumroute.core.documents.findOrganisation
import org.gypsumroute.core.drain.DrainPhase
import org.gypsumroute.core.leases.HeldBytes
import org.gypsumroute.core.requests.RequestPhase
import org.gypsumroute.core.requests.RequestRecord
import org.gypsumroute.core.requests.endRequest
import org.gypsumroute.core.requests.fail
import org.gypsumroute.core.requests.place
import org.gypsumroute.core.requests.refusedLog
import org.gypsumroute.core.requests.retry
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

internal fun reduceCaller(state: EntryState, event: CallerEvent): Step<EntryState> = when (event) {
    is CallerEvent.Opened -> reduceOpened(state, event)

    is CallerEvent.GenerationArrived -> admit(
        state,
        event.request,
        event.service,
        event.bodyBytes
    ) {
        checkGeneration(state, event)
    }

    is CallerEvent.CallArrived -> admit(
        state,
        event.request,
        event.service,
        event.bodyBytes
    ) {
        checkCall(state, event)
    }

    is CallerEvent.ActionKeyWanted -> admit(
        state,
        event.request,
        event.service,
        Bytes.ZERO
    ) {
        checkActionKeyWanted(state, event)
    }

    is CallerEvent.Rejected -> refuse(
        state,
        event.request,
        Failure(event.kind, ""),
        callerNotified = true
    )

    is CallerEvent.Left -> reduceLeft(state, event.request)

    is CallerEvent.AnswerTaken -> reduceAnswerTaken(state, event.request)
}

private fun reduceOpened(state: EntryState, event: CallerEvent.Opened): Step<EntryState> {
    val request = event.request
    val duplicate =
        request in state.awaitingBody || request in state.requests ||
            request in state.failedRequests
    val organisation = findOrganisation(state.common, event.keyDigest)
    val refusal = when {
        duplicate -> ErrorKind.REQUEST_DUPLICATE
        state.common.drain != DrainPhase.SERVING -> ErrorKind.DRAINING
        !state.common.ready -> ErrorKind.NOT_READY
        organisation == null -> ErrorKind.CREDENTIALS_INVALID
        !fitsBufferLimits(state, organisation, event.declaredBytes) -> ErrorKind.ANSWER_BUFFER_FULL
        else -> null
    }
    return when {
        // The state stays as it is, because the earlier request with the same id continues.
        refusal == ErrorKind.REQUEST_DUPLICATE ->
            Step(
                state,
                refusalEffects(
                    request,
                    failureWithRetryAdvice(state, refusal, "a request with this id is open")
                )
            )

        refusal != null || organisation == null -> refuse(
            state,
            request,
            failureWithRetryAdvice(state, refusal ?: ErrorKind.CREDENTIALS_INVALID, "not admitted")
        )

        else -> state.copy(
            awaitingBody = state.awaitingBody.put(request, state.common.now),
            buffers = state.buffers.put(
                request,
                HeldBytes(organisation, event.declaredBytes)
            )
        ).step(CallerEffect.AcceptBody(request))
    }
}

private fun fitsBufferLimits(
    state: EntryState,
    organisation: OrganisationId,
    additional: Bytes
): Boolean = state.buffers.total + additional <= state.maxBufferedBytes &&
    state.buffers.heldBy(organisation) + additional <= bufferBudget(state.common, organisation)

private fun admit(
    state: EntryState,
    request: RequestId,
    service: ServiceId,
    bodyBytes: Bytes,
    check: () -> Either<Failure, Admission>
): Step<EntryState> {
    val arrivedAt = state.awaitingBody[request] ?: return state.step()
    val held = state.buffers.held[request] ?: return state.step()
    val buffers = state.buffers.put(request, held.copy(body = bodyBytes))
    val checked = check()
    val additional = bodyBytes - held.body
    val fits = additional <= Bytes.ZERO || fitsBufferLimits(state, held.organisation, additional)
    return when {
        checked is Either.Left -> refuse(state, request, checked.value, service = service)

        checked is Either.Right && fits -> {
            val (spec, timeout) = checked.value
            val record = RequestRecord(request, spec, arrivedAt, arrivedAt + timeout)
            acceptRequest(state.copy(buffers = buffers), record)
        }

        else -> {
            val failure =
                failureWithRetryAdvice(state, ErrorKind.ANSWER_BUFFER_FULL, "the body is too large")
            refuse(state, request, failure, service = service)
        }
    }
}

private fun acceptRequest(state: EntryState, record: RequestRecord): Step<EntryState> {
    val now = state.common.now
    val open = (state.openRequests[record.serviceOrganisation] ?: 0) + 1
    val share = state.common.documents.inForce(record.spec.service)?.retry?.budgetShare ?: 0.0
    val next = state.copy(
        awaitingBody = state.awaitingBody.remove(record.id),
        requests = state.requests.put(record.id, record),
        openRequests = state.openRequests.put(record.serviceOrganisation, open),
        deadlines = state.deadlines.add(record.deadline, record.id),
        retryBudget = minOf(state.retryBudget + share, MAX_RETRY_BUDGET)
    )
    if (record.deadline <= now) return fail(next, record, ErrorKind.DEADLINE_EXCEEDED, "too late")
    val timer = RuntimeEffect.SetTimer(TimerId.RequestDeadline(record.id), record.deadline - now)
    return next.step(timer).then { startFirstAttempt(it, record) }
}

/** Makes the first attempt of an admitted request. */
private fun startFirstAttempt(state: EntryState, record: RequestRecord): Step<EntryState> =
    when (record.spec.kind) {
        WorkKind.ACTION -> placeAction(state, record)
        else -> place(state, record)
    }

/** Refuses the requests whose bodies have not arrived yet, because the entry ends. */
internal fun refuseAwaitedBodies(state: EntryState): Step<EntryState> =
    state.step().thenEach(state.awaitingBody.keys) { next, request ->
        refuse(next, request, failureWithRetryAdvice(next, ErrorKind.DRAINING, "the entry stops"))
    }

/**
 * Refuses a request that was not admitted. If [callerNotified], the front end has already answered
 * the caller, so no effect to answer it is added.
 */
internal fun refuse(
    state: EntryState,
    request: RequestId,
    failure: Failure,
    callerNotified: Boolean = false,
    service: ServiceId? = null
): Step<EntryState> {
    if (callerNotified && request !in state.awaitingBody) return state.step()
    val next = state.copy(
        awaitingBody = state.awaitingBody.remove(request),
        buffers = state.buffers.remove(request),
        failedRequests = state.failedRequests.add(request)
    )
    // A service name that no document lists is left out, to bound the number of label values.
    val labels = MetricLabels(
        service = service?.takeIf { it in state.common.documents.accepted },
        organisation = state.buffers.held[request]?.organisation
    )
    val effects = refusalEffects(request, failure, labels)
    return Step(next, if (callerNotified) effects.drop(1) else effects)
}

private fun refusalEffects(
    request: RequestId,
    failure: Failure,
    labels: MetricLabels = MetricLabels()
) = listOf(
    CallerEffect.Fail(request, failure),
    refusedLog(request, failure),
    RuntimeEffect.Count(Metric.REQUESTS, labels.copy(outcome = failure.kind.code))
)

private fun reduceLeft(state: EntryState, request: RequestId): Step<EntryState> {
    val record = state.requests[request]
    val next = state.copy(
        awaitingBody = state.awaitingBody.remove(request),
        failedRequests = state.failedRequests.remove(request),
        buffers = state.buffers.remove(request)
    )
    return when {
        record == null -> next.step()
        else -> endRequest(next, record, ErrorKind.CALLER_LEFT.code)
    }.then { it.step(CallerEffect.Forget(request)) }
}

private fun reduceAnswerTaken(state: EntryState, request: RequestId): Step<EntryState> {
    val record = state.requests[request]
    val next = state.copy(
        failedRequests = state.failedRequests.remove(request),
        buffers = if (record == null) state.buffers.remove(request) else state.buffers
    )
    return when {
        record == null -> next.step()
        record.phase != RequestPhase.DELIVERING -> return state.step()
        else -> endRequest(next, record, SUCCESS)
    }.then { it.step(CallerEffect.Forget(request)) }
}

private const val SUCCESS = "ok"
