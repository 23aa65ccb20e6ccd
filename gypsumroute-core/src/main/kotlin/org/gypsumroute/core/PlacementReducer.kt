/*
 * Choice of endpoints, and the waits between attempts.
 */
package org.gypsumroute.core

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

/** Asks the best endpoints for the request, or waits if there is none to ask. */
internal fun place(state: EntryState, record: RequestRecord): Step<EntryState> {
    val document = state.common.documents.inForce(record.terms.service)
        ?: return fail(state, record, ErrorKind.SERVICE_UNKNOWN, "the service was withdrawn")
    val candidates = candidates(state, document)
    if (needsGroup(record, candidates)) return placeGroup(state, record, document, candidates)
    val ranked = rank(state, record, candidates.filter { mayTake(record, it) })
    val shortestWait = ranked.minOfOrNull { it.summary?.expectedWait ?: Duration.ZERO }
    return when {
        shortestWait == null -> waitForEndpoint(state, record, document, candidates)

        !canFinish(state, record, document, shortestWait) -> fail(
            state,
            record,
            ErrorKind.DEADLINE_UNREACHABLE,
            "the prompt cannot be processed before the deadline"
        )

        record.terms.kind == null -> askActionKey(state, record, ranked.first().record.host)

        else -> {
            val wanted = if (record.terms.kind == WorkKind.GENERATION) GENERATION_ASKS else 1
            val asking = record.copy(phase = RequestPhase.ASKING, attempt = record.attempt + 1)
            state.withRequest(asking).step()
                .thenEach(ranked.take(wanted)) { next, candidate ->
                    ask(next, record.id, candidate.record.host)
                }
        }
    }
}

/** Endpoints that may be asked: connected, not silent, not leaving, data centre not out. */
internal fun candidates(state: EntryState, document: ServiceDocument): List<PlacementCandidate> =
    state.common.peers.values.mapNotNull { link ->
        val record = state.common.hosts[link.peer]
        if (record == null || !mayAsk(state.common, document, link.peer)) {
            null
        } else {
            PlacementCandidate(record, link.summary, state.leasesByHost[link.peer]?.size ?: 0)
        }
    }

internal fun mayAsk(common: CommonState, document: ServiceDocument, host: HostId): Boolean {
    val link = common.peers[host]
    val record = common.hosts[host]
    val reachable = link?.connection != null && link.silentSince == null &&
        link.incarnation != null
    return reachable && record != null && !record.leaving && record.pool == document.pool &&
        record.dataCentre !in document.dataCentresOut
}

/** Leaves out endpoints that refused lately, and those whose engine is too small in any case. */
private fun mayTake(record: RequestRecord, candidate: PlacementCandidate): Boolean {
    val need = record.promptNow + record.outputLeft
    val memory = candidate.summary?.engineMemory ?: need
    val fits = record.terms.kind != WorkKind.GENERATION || memory >= need
    return fits && candidate.record.host !in record.tried
}

private fun rank(
    state: EntryState,
    record: RequestRecord,
    candidates: List<PlacementCandidate>
): List<PlacementCandidate> = state.common.policies.placement(
    PlacementQuestion(
        candidates = candidates,
        need = record.promptNow + record.outputLeft,
        prefix = record.terms.prefix,
        ownDataCentre = state.common.node.dataCentre.value,
        entropy = state.common.entropy xor stableHash(record.id.value)
    )
)

/** Whether an attempt that starts after [wait] can produce a token before the deadline. */
internal fun canFinish(
    state: EntryState,
    record: RequestRecord,
    document: ServiceDocument,
    wait: Duration
): Boolean {
    val prefill = state.common.policies.prefillEstimate(record.promptNow, document.ramp)
    return state.common.now + wait + prefill < record.deadline
}

/** Nobody can be asked now: tries again after a backoff while the deadline allows it. */
internal fun waitForEndpoint(
    state: EntryState,
    record: RequestRecord,
    document: ServiceDocument,
    candidates: List<PlacementCandidate>,
    scarce: ErrorKind = ErrorKind.OVERLOADED
): Step<EntryState> {
    val wait = backoff(document.retry, record.waits + 1, entropyFor(state, record.id))
    if (!canFinish(state, record, document, wait)) {
        val kind = if (candidates.isEmpty()) missing(state, document) else scarce
        return fail(state, record, kind, "no endpoint could take the request in time")
    }
    // After the wait, hosts that refused may be asked again.
    val waiting = record.copy(waits = record.waits + 1, tried = persistentSetOf())
    return waitFor(state, waiting, wait)
}

private fun missing(state: EntryState, document: ServiceDocument): ErrorKind {
    val out = state.common.hosts.values.any {
        it.pool == document.pool && it.dataCentre in document.dataCentresOut
    }
    return if (out) ErrorKind.DATA_CENTRE_OUT else ErrorKind.NO_ENDPOINT
}

private fun askedLease(state: EntryState, record: RequestRecord): LeaseRecord? =
    record.leases.firstNotNullOfOrNull { id ->
        state.leases[id]?.takeIf { it.stage == LeaseStage.ASKED }
    }

/** Puts the request aside until its timer fires. */
internal fun waitFor(state: EntryState, record: RequestRecord, wait: Duration): Step<EntryState> =
    state.withRequest(record.copy(phase = RequestPhase.WAITING))
        .step(attemptTimer(record.id, wait))

internal fun attemptTimer(request: RequestId, wait: Duration): Effect =
    RuntimeEffect.SetTimer(TimerId.Attempt(request), wait)

internal fun reduceAttemptTimer(state: EntryState, request: RequestId): Step<EntryState> {
    val record = state.requests[request] ?: return state.step()
    return when {
        record.phase == RequestPhase.WAITING && record.terms.kind == WorkKind.ACTION ->
            placeAction(state, record)

        record.phase == RequestPhase.WAITING -> place(state, record)

        record.phase == RequestPhase.ASKING && record.group != null ->
            failGroup(state, record, lateGrant(), askedLease(state, record))

        record.phase == RequestPhase.ASKING && record.terms.kind == null ->
            retry(state, record.withTried(record.asked))

        else -> state.step()
    }
}

/**
 * All endpoints asked so far refused, or a lease came back without having run. Asks others at
 * once if there are any, within the retry budget; otherwise after the backoff.
 */
internal fun retry(state: EntryState, record: RequestRecord): Step<EntryState> {
    val document = state.common.documents.inForce(record.terms.service)
        ?: return fail(state, record, ErrorKind.SERVICE_UNKNOWN, "the service was withdrawn")
    val wait = retryWait(state, record, document)
    val refusal = record.lastRefusal
    if (wait == null) {
        val kind = refusal?.kind ?: ErrorKind.OVERLOADED
        val detail = refusal?.detail ?: "no endpoint took the request"
        return fail(state, record, kind, detail, refusal?.retryAfter)
    }
    val counted = countRetry(state, record)
    val untried = candidates(state, document).any { mayTake(record, it) }
    return counted.then {
        if (untried && record.terms.kind != WorkKind.ACTION) {
            place(it, record)
        } else {
            waitFor(it, record.copy(tried = persistentSetOf()), wait)
        }
    }
}

internal fun retryWait(
    state: EntryState,
    record: RequestRecord,
    document: ServiceDocument
): Duration? = state.common.policies.retry(
    RetryQuestion(
        rule = document.retry,
        attempt = record.attempt,
        budget = state.retryBudget,
        remaining = record.deadline - state.common.now,
        entropy = entropyFor(state, record.id)
    )
)

internal fun countRetry(state: EntryState, record: RequestRecord): Step<EntryState> =
    state.copy(retryBudget = state.retryBudget - 1)
        .step(RuntimeEffect.Count(Metric.RETRIES, labelsOf(record)))

/** Asks one endpoint for a lease; a [member] makes it part of a group. */
internal fun ask(
    state: EntryState,
    request: RequestId,
    host: HostId,
    member: MemberAsk? = null
): Step<EntryState> {
    val record = state.requests[request] ?: return state.step()
    val terms = record.terms
    val incarnation = state.common.peers[host]?.incarnation ?: return state.step()
    val node = state.common.node
    val lease = LeaseRecord(
        lease = LeaseId("${node.host}/${node.incarnation}/${state.nextLease}"),
        request = request,
        host = host,
        incarnation = incarnation,
        kind = member?.kind ?: terms.kind ?: WorkKind.CALL,
        groupSegment = member?.share
    )
    val order = WorkOrder(
        lease = lease.lease,
        request = request,
        service = terms.service,
        organisation = terms.organisation,
        lengthClass = terms.lengthClass,
        kind = lease.kind,
        promptTokens = member?.tokens ?: record.promptNow,
        outputLimit = if (lease.kind == WorkKind.SEGMENT) Tokens.ZERO else record.outputLeft,
        remaining = record.deadline - state.common.now,
        prefix = terms.prefix,
        group = member?.share,
        actionKey = terms.actionKey,
        path = terms.path
    )
    val next = state.copy(nextLease = state.nextLease + 1)
        .withLease(lease)
        .withRequest(record.copy(leases = record.leases.add(lease.lease)))
    val message = PeerMessage.GrantRequest(order)
    return Step(next, listOfNotNull(sendTo(state.common, host, message)))
}

internal fun entropyFor(state: EntryState, request: RequestId): Long =
    state.common.entropy xor stableHash(request.value)

internal fun RequestRecord.withTried(host: HostId?): RequestRecord =
    if (host == null) this else copy(tried = tried.add(host))

// Late binding: the first of two endpoints to grant gets the request, the other is released.
private const val GENERATION_ASKS = 2
