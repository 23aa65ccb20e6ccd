/*
 * Ends requests after failures, deadlines and completed answers, and releases their leases.
 */
package org.gypsumroute.core.requests

import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlinx.collections.immutable.persistentSetOf
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.Effect
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.admission.failureWithRetryAdvice
import org.gypsumroute.core.leases.LeaseRecord
import org.gypsumroute.core.leases.LeaseStage
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.peers.lengthClass
import org.gypsumroute.core.peers.sendTo
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

/** Fails all requests whose deadline has passed; runs at the clock reading before each event. */
internal fun expireRequests(state: EntryState): Step<EntryState> {
    var step = state.step()
    while (true) {
        val due = step.state.deadlines.earliest
        if (due == null || due > state.common.now) return step
        step = step.then { expireFirst(it) }
    }
}

private fun expireFirst(state: EntryState): Step<EntryState> {
    val next = state.copy(deadlines = state.deadlines.withoutFirst())
    val record = state.deadlines.first?.let { state.requests[it] }
    val stale = record == null || record.phase == RequestPhase.DELIVERING ||
        record.deadline > state.common.now
    return when {
        stale -> next.step()

        record.spec.kind == WorkKind.ACTION && record.phase == RequestPhase.WAITING &&
            record.lastRefusal?.runState != RunState.NOT_RUN ->
            fail(next, record, ErrorKind.ACTION_OUTCOME_UNKNOWN, "the key's host is unreachable")

        else -> fail(next, record, ErrorKind.DEADLINE_EXCEEDED, "the deadline passed")
    }
}

/**
 * Whether the work of a request ran, as far as this entry knows. An action may have run under an
 * earlier request with the same key, so only the refusal by its agent shows that it did not.
 */
internal fun runStateOf(state: EntryState, record: RequestRecord): RunState {
    val dispatched = record.leases.any {
        state.leases[it]?.stage == LeaseStage.DISPATCHED
    }
    return when {
        record.answerBegan || record.deliveredTokens > Tokens.ZERO -> RunState.RAN
        record.earlierWorkRunState == RunState.RAN -> RunState.RAN
        dispatched || record.earlierWorkRunState == RunState.UNKNOWN -> RunState.UNKNOWN
        record.spec.kind != WorkKind.ACTION -> RunState.NOT_RUN
        else -> record.lastRefusal?.runState ?: RunState.UNKNOWN
    }
}

/** Fails an admitted request with the run state that this entry's own records show. */
internal fun fail(
    state: EntryState,
    record: RequestRecord,
    kind: ErrorKind,
    detail: String,
    retryAfter: Duration? = null
): Step<EntryState> {
    val runState = runStateOf(state, record)
    // Kinds with run state `not_run` advise to repeat later, which is wrong if work ran in part.
    val reportedKind = if (record.answerBegan && kind.runState == RunState.NOT_RUN) {
        ErrorKind.ENDPOINT_LOST
    } else {
        kind
    }
    // The action may have run in the meantime, under another request with the same key.
    val mayHaveRun = kind == ErrorKind.ACTION_OUTCOME_UNKNOWN && runState == RunState.NOT_RUN
    val reportedRunState = if (mayHaveRun) RunState.UNKNOWN else runState
    val failure =
        failureWithRetryAdvice(state, reportedKind, detail, reportedRunState, record.spec.service)
    return failWith(state, record, failure.copy(retryAfter = retryAfter ?: failure.retryAfter))
}

internal fun failWith(
    state: EntryState,
    record: RequestRecord,
    failure: Failure
): Step<EntryState> {
    val next = state.copy(
        failedRequests = state.failedRequests.add(record.id),
        buffers = state.buffers.remove(record.id)
    )
    val advised = failure.retryAfter
        ?: failureWithRetryAdvice(state, failure.kind, "", service = record.spec.service).retryAfter
    val log = if (failure.runState == RunState.NOT_RUN) {
        refusedLog(record.id, failure)
    } else {
        failedLog(LogEvent.REQUEST_FAILED, record.id, failure)
    }
    return next.step(CallerEffect.Fail(record.id, failure.copy(retryAfter = advised)), log)
        .then { endRequest(it, record, failure.kind.code) }
}

/** Removes a request, releases its leases and records its outcome in the metrics. */
internal fun endRequest(
    state: EntryState,
    record: RequestRecord,
    outcome: String
): Step<EntryState> {
    val open = (state.openRequests[record.serviceOrganisation] ?: 1) - 1
    val next = state.copy(
        requests = state.requests.remove(record.id),
        buffers = state.buffers.remove(record.id),
        openRequests = if (open <= 0) {
            state.openRequests.remove(record.serviceOrganisation)
        } else {
            state.openRequests.put(record.serviceOrganisation, open)
        }
    )
    val labels = labelsOf(record).copy(outcome = outcome)
    val duration = (state.common.now - record.arrivedAt).toDouble(DurationUnit.SECONDS)
    return next.step(
        RuntimeEffect.CancelTimer(TimerId.RequestDeadline(record.id)),
        RuntimeEffect.CancelTimer(TimerId.Attempt(record.id)),
        RuntimeEffect.Count(Metric.REQUESTS, labels),
        RuntimeEffect.Observe(Metric.REQUEST_DURATION, labels, duration)
    ).thenEach(record.leases) { reached, lease -> releaseUnlessActionRuns(reached, lease) }
}

/** Releases a lease; a dispatched action is only forgotten here and may finish at its agent. */
private fun releaseUnlessActionRuns(state: EntryState, lease: LeaseId): Step<EntryState> {
    val record = state.leases[lease] ?: return state.step()
    val actionRuns = record.kind == WorkKind.ACTION && record.stage == LeaseStage.DISPATCHED
    return if (actionRuns) state.withoutLease(lease).step() else releaseLease(state, lease)
}

/** Removes a lease and tells its endpoint that it is no longer needed. */
internal fun releaseLease(state: EntryState, lease: LeaseId): Step<EntryState> {
    val record = state.leases[lease] ?: return state.step()
    val release = sendTo(state.common, record.host, PeerMessage.LeaseRelease(lease))
    return Step(state.withoutLease(lease), listOfNotNull(release))
}

internal fun EntryState.withoutLease(lease: LeaseId): EntryState {
    val record = leases[lease] ?: return this
    val remaining = leasesByHost[record.host]?.remove(lease)
    val request = requests[record.request]
    return copy(
        leases = leases.remove(lease),
        leasesByHost = if (remaining.isNullOrEmpty()) {
            leasesByHost.remove(record.host)
        } else {
            leasesByHost.put(record.host, remaining)
        },
        requests = if (request == null) {
            requests
        } else {
            requests.put(request.id, request.copy(leases = request.leases.remove(lease)))
        }
    )
}

internal fun EntryState.withLease(lease: LeaseRecord): EntryState = copy(
    leases = leases.put(lease.lease, lease),
    leasesByHost = leasesByHost.put(
        lease.host,
        (leasesByHost[lease.host] ?: EMPTY_LEASE_SET).add(lease.lease)
    )
)

internal fun EntryState.withRequest(record: RequestRecord): EntryState =
    copy(requests = requests.put(record.id, record))

internal fun labelsOf(record: RequestRecord) = MetricLabels(
    service = record.spec.service,
    lengthClass = record.spec.lengthClass,
    organisation = record.spec.organisation,
    dataCentre = record.dataCentre
)

internal fun refusedLog(request: RequestId, failure: Failure): Effect =
    failedLog(LogEvent.REQUEST_REFUSED, request, failure)

private fun failedLog(event: LogEvent, request: RequestId, failure: Failure): Effect = logEffect(
    event,
    "request" to request,
    "error" to failure.kind.code,
    "run_state" to failure.runState.code,
    "detail" to failure.detail
)

private val EMPTY_LEASE_SET = persistentSetOf<LeaseId>()
