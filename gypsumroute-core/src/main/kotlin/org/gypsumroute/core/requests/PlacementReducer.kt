/*
 * Places requests: selects endpoints, requests leases from them, and schedules retries.
 */
package org.gypsumroute.core.requests

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentSetOf
import org.gypsumroute.api.Effect
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Metric
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind
import org.gypsumroute.api.WorkOrder
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.PlacementCandidate
import org.gypsumroute.core.PlacementContext
import org.gypsumroute.core.RetryContext
import org.gypsumroute.core.actions.placeAction
import org.gypsumroute.core.actions.requestActionKey
import org.gypsumroute.core.admission.fits
import org.gypsumroute.core.groups.MemberRequest
import org.gypsumroute.core.groups.failGroup
import org.gypsumroute.core.groups.needsGroup
import org.gypsumroute.core.groups.placeGroup
import org.gypsumroute.core.leases.LeaseRecord
import org.gypsumroute.core.leases.LeaseStage
import org.gypsumroute.core.leases.lateGrantFailure
import org.gypsumroute.core.peers.expectedWait
import org.gypsumroute.core.peers.lengthClass
import org.gypsumroute.core.peers.sendTo
import org.gypsumroute.core.stableHash
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

/** Requests leases from the best endpoints, or schedules another attempt if there are none. */
internal fun place(state: EntryState, record: RequestRecord): Step<EntryState> {
    val document = state.common.documents.inForce(record.spec.service)
        ?: return fail(state, record, ErrorKind.SERVICE_UNKNOWN, "the service was withdrawn")
    val candidates = candidates(state, document)
    if (needsGroup(record, candidates)) return placeGroup(state, record, document, candidates)
    val ranked = rank(state, record, candidates.filter { canServe(record, it) })
    val shortestWait = ranked.minOfOrNull { it.summary?.expectedWait ?: Duration.ZERO }
    return when {
        shortestWait == null -> waitForEndpoint(state, record, document, candidates)

        !canMeetDeadline(state, record, document, shortestWait) -> fail(
            state,
            record,
            ErrorKind.DEADLINE_UNREACHABLE,
            "the prompt cannot be processed before the deadline"
        )

        record.spec.kind == null -> requestActionKey(state, record, ranked.first().hostRecord.host)

        else -> {
            val generates = record.spec.kind == WorkKind.GENERATION
            val leaseCount = if (generates) GENERATION_LEASE_REQUESTS else 1
            val asking = record.copy(phase = RequestPhase.ASKING, attempt = record.attempt + 1)
            state.withRequest(asking).step()
                .thenEach(ranked.take(leaseCount)) { next, candidate ->
                    requestLease(next, record.id, candidate.hostRecord.host)
                }
        }
    }
}

/** The endpoints that may receive new work of the service, whatever their load. */
internal fun candidates(state: EntryState, document: ServiceDocument): List<PlacementCandidate> =
    state.common.peers.values.mapNotNull { link ->
        val record = state.common.hosts[link.peer]
        if (record == null || !mayReceiveNewWork(state.common, document, link.peer)) {
            null
        } else {
            PlacementCandidate(record, link.summary, state.leasesByHost[link.peer]?.size ?: 0)
        }
    }

/**
 * Whether the host is connected, not silent, not leaving and in the pool of the service, and its
 * data centre is not taken out by the document.
 */
internal fun mayReceiveNewWork(
    common: CommonState,
    document: ServiceDocument,
    host: HostId
): Boolean {
    val link = common.peers[host]
    val record = common.hosts[host]
    val reachable = link?.connection != null && link.silentSince == null &&
        link.incarnation != null
    return reachable && record != null && !record.leaving && record.pool == document.pool &&
        record.dataCentre !in document.dataCentresOut
}

/** Whether the endpoint is not excluded since the last wait and its engine is large enough. */
private fun canServe(record: RequestRecord, candidate: PlacementCandidate): Boolean {
    val neededTokens = record.nextPromptTokens + record.remainingOutput
    val memory = candidate.summary?.engineMemory ?: neededTokens
    val fits = record.spec.kind != WorkKind.GENERATION || memory >= neededTokens
    return fits && candidate.hostRecord.host !in record.excludedHosts
}

private fun rank(
    state: EntryState,
    record: RequestRecord,
    candidates: List<PlacementCandidate>
): List<PlacementCandidate> = state.common.policies.placement(
    PlacementContext(
        candidates = candidates,
        neededTokens = record.nextPromptTokens + record.remainingOutput,
        prefix = record.spec.prefix,
        localDataCentre = state.common.node.dataCentre.value,
        entropy = state.common.entropy xor stableHash(record.id.value)
    )
)

/** Whether an attempt that starts after [wait] can produce a token before the deadline. */
internal fun canMeetDeadline(
    state: EntryState,
    record: RequestRecord,
    document: ServiceDocument,
    wait: Duration
): Boolean {
    val prefill = state.common.policies.prefillEstimate(record.nextPromptTokens, document.ramp)
    return state.common.now + wait + prefill < record.deadline
}

/**
 * Schedules another attempt after a backoff, because no endpoint can be asked now. If the backoff
 * leaves too little time before the deadline, the request fails, with [failureKind] if there are
 * candidates.
 */
internal fun waitForEndpoint(
    state: EntryState,
    record: RequestRecord,
    document: ServiceDocument,
    candidates: List<PlacementCandidate>,
    failureKind: ErrorKind = ErrorKind.OVERLOADED
): Step<EntryState> {
    val wait = backoff(document.retry, record.backoffCount + 1, entropyFor(state, record.id))
    if (!canMeetDeadline(state, record, document, wait)) {
        val kind = if (candidates.isEmpty()) noCandidateKind(state, document) else failureKind
        return fail(state, record, kind, "no endpoint could take the request in time")
    }
    // After the wait, excluded hosts may be asked again.
    val waiting = record.copy(
        backoffCount = record.backoffCount + 1,
        excludedHosts = persistentSetOf()
    )
    return scheduleNextAttempt(state, waiting, wait)
}

private fun noCandidateKind(state: EntryState, document: ServiceDocument): ErrorKind {
    val out = state.common.hosts.values.any {
        it.pool == document.pool && it.dataCentre in document.dataCentresOut
    }
    return if (out) ErrorKind.DATA_CENTRE_OUT else ErrorKind.NO_ENDPOINT
}

private fun unansweredLease(state: EntryState, record: RequestRecord): LeaseRecord? =
    record.leases.firstNotNullOfOrNull { id ->
        state.leases[id]?.takeIf { it.stage == LeaseStage.ASKED }
    }

/** Lets the request wait for its next attempt, which starts when its timer fires. */
internal fun scheduleNextAttempt(
    state: EntryState,
    record: RequestRecord,
    wait: Duration
): Step<EntryState> = state.withRequest(record.copy(phase = RequestPhase.WAITING))
    .step(setAttemptTimer(record.id, wait))

internal fun setAttemptTimer(request: RequestId, wait: Duration): Effect =
    RuntimeEffect.SetTimer(TimerId.Attempt(request), wait)

internal fun reduceAttemptTimer(state: EntryState, request: RequestId): Step<EntryState> {
    val record = state.requests[request] ?: return state.step()
    return when {
        record.phase == RequestPhase.WAITING && record.spec.kind == WorkKind.ACTION ->
            placeAction(state, record)

        record.phase == RequestPhase.WAITING -> place(state, record)

        record.phase == RequestPhase.ASKING && record.group != null ->
            failGroup(state, record, lateGrantFailure(), unansweredLease(state, record))

        record.phase == RequestPhase.ASKING && record.spec.kind == null ->
            retry(state, record.withExcludedHost(record.keyRequestHost))

        else -> state.step()
    }
}

/**
 * Retries after all endpoints asked so far refused, or after work was returned without having run.
 * If the retry policy allows a retry, endpoints that were not asked yet are asked at once;
 * without any, the request waits for the backoff. Otherwise the request fails.
 */
internal fun retry(state: EntryState, record: RequestRecord): Step<EntryState> {
    val document = state.common.documents.inForce(record.spec.service)
        ?: return fail(state, record, ErrorKind.SERVICE_UNKNOWN, "the service was withdrawn")
    val wait = retryDelay(state, record, document)
    val refusal = record.lastRefusal
    if (wait == null) {
        val kind = refusal?.kind ?: ErrorKind.OVERLOADED
        val detail = refusal?.detail ?: "no endpoint took the request"
        return fail(state, record, kind, detail, refusal?.retryAfter)
    }
    val counted = consumeRetryBudget(state, record)
    val othersAvailable = candidates(state, document).any { canServe(record, it) }
    return counted.then {
        if (othersAvailable && record.spec.kind != WorkKind.ACTION) {
            place(it, record)
        } else {
            scheduleNextAttempt(it, record.copy(excludedHosts = persistentSetOf()), wait)
        }
    }
}

internal fun retryDelay(
    state: EntryState,
    record: RequestRecord,
    document: ServiceDocument
): Duration? = state.common.policies.retry(
    RetryContext(
        rule = document.retry,
        attempt = record.attempt,
        availableRetries = state.retryBudget,
        timeToDeadline = record.deadline - state.common.now,
        entropy = entropyFor(state, record.id)
    )
)

internal fun consumeRetryBudget(state: EntryState, record: RequestRecord): Step<EntryState> =
    state.copy(retryBudget = state.retryBudget - 1)
        .step(RuntimeEffect.Count(Metric.RETRIES, labelsOf(record)))

/** Requests a lease from one endpoint; with [member] it is the lease of a member of a group. */
internal fun requestLease(
    state: EntryState,
    request: RequestId,
    host: HostId,
    member: MemberRequest? = null
): Step<EntryState> {
    val record = state.requests[request] ?: return state.step()
    val spec = record.spec
    val incarnation = state.common.peers[host]?.incarnation ?: return state.step()
    val node = state.common.node
    val lease = LeaseRecord(
        lease = LeaseId("${node.host}/${node.incarnation}/${state.nextLeaseNumber}"),
        request = request,
        host = host,
        incarnation = incarnation,
        kind = member?.kind ?: spec.kind ?: WorkKind.CALL,
        groupSegment = member?.segment
    )
    val order = WorkOrder(
        lease = lease.lease,
        request = request,
        service = spec.service,
        organisation = spec.organisation,
        lengthClass = spec.lengthClass,
        kind = lease.kind,
        promptTokens = member?.tokens ?: record.nextPromptTokens,
        outputLimit = if (lease.kind == WorkKind.SEGMENT) Tokens.ZERO else record.remainingOutput,
        remaining = record.deadline - state.common.now,
        prefix = spec.prefix,
        group = member?.segment,
        actionKey = spec.actionKey,
        path = spec.path
    )
    val next = state.copy(nextLeaseNumber = state.nextLeaseNumber + 1)
        .withLease(lease)
        .withRequest(record.copy(leases = record.leases.add(lease.lease)))
    val message = PeerMessage.GrantRequest(order)
    return Step(next, listOfNotNull(sendTo(state.common, host, message)))
}

internal fun entropyFor(state: EntryState, request: RequestId): Long =
    state.common.entropy xor stableHash(request.value)

internal fun RequestRecord.withExcludedHost(host: HostId?): RequestRecord =
    if (host == null) this else copy(excludedHosts = excludedHosts.add(host))

// Two endpoints are asked for each generation. The first to grant gets the request and the lease of
// the other is released, so the choice depends on actual rather than reported load.
private const val GENERATION_LEASE_REQUESTS = 2
