/*
 * Answers of agents to leases: grants, refusals and failures.
 */
package org.gypsumroute.core

import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind

internal fun reduceGrantIssued(
    state: EntryState,
    event: PeerEvent.Received,
    id: LeaseId
): Step<EntryState> {
    val lease = state.leases[id]
        ?: return state.step(PeerEffect.Send(event.connection, PeerMessage.LeaseRelease(id)))
    val record = state.requests[lease.request]
    val document = record?.let { state.common.documents.inForce(it.terms.service) }
    return when {
        record == null || lease.stage != LeaseStage.ASKED -> state.step()

        document == null || !mayAsk(state.common, document, lease.host) ->
            releaseLease(state, id).then { refused(it, lease, unwanted(lease)) }

        lease.groupSegment != null -> grantMember(state, record, lease)

        else -> {
            val others = record.leases.remove(id)
            state.step().thenEach(others) { next, other -> releaseLease(next, other) }
                .then { dispatch(it, lease, emptyList()) }
        }
    }
}

/** Starts the work of a granted lease. */
internal fun dispatch(
    state: EntryState,
    lease: LeaseRecord,
    imports: List<SegmentHandle>
): Step<EntryState> {
    val record = state.requests[lease.request] ?: return state.step()
    val started = lease.copy(stage = LeaseStage.DISPATCHED, imports = imports)
    val running = record.copy(
        phase = RequestPhase.RUNNING,
        running = lease.lease,
        dataCentre = state.common.hosts[lease.host]?.dataCentre
    )
    val next = state.withLease(started).withRequest(running)
    val limit = record.terms.outputLimit.takeIf { lease.kind == WorkKind.GENERATION }
    val read = CallerEffect.ReadAnswer(record.id, lease.lease, limit)
        .takeIf { lease.kind != WorkKind.SEGMENT }
    val cancel = RuntimeEffect.CancelTimer(TimerId.Attempt(record.id))
    return Step(next, listOf(cancel) + transfer(next, running, started) + listOfNotNull(read))
}

/** The messages that hand the work of a lease to its endpoint. */
internal fun transfer(state: EntryState, record: RequestRecord, lease: LeaseRecord) =
    state.common.peers[lease.host]?.connection?.let { connection ->
        val message = PeerMessage.Dispatch(
            lease = lease.lease,
            bodyBytes = record.terms.bodyBytes,
            outputLimit = outputOf(record, lease),
            imports = lease.imports
        )
        listOf(
            PeerEffect.Send(connection, message),
            CallerEffect.Upload(record.id, lease.lease, connection, lease.groupSegment)
        )
    }.orEmpty()

private fun outputOf(record: RequestRecord, lease: LeaseRecord): Tokens =
    if (lease.kind == WorkKind.GENERATION) {
        record.terms.outputLimit - record.deliveredBefore
    } else {
        Tokens.ZERO
    }

internal fun reduceGrantRefused(
    state: EntryState,
    id: LeaseId,
    failure: Failure
): Step<EntryState> {
    val lease = state.leases[id] ?: return state.step()
    return if (lease.stage == LeaseStage.DISPATCHED) {
        reduceWorkFailed(state, id, failure)
    } else {
        refused(state.withoutLease(id), lease, failure)
    }
}

/** An endpoint will not run the work of a lease that was never dispatched. */
internal fun refused(state: EntryState, lease: LeaseRecord, failure: Failure): Step<EntryState> {
    val record = state.requests[lease.request] ?: return state.step()
    val noted = record.withTried(lease.host).copy(lastRefusal = failure)
    return when {
        record.group != null -> failGroup(state, noted, failure, lease)
        lease.kind == WorkKind.ACTION -> refusedAction(state, noted, failure)
        record.leases.isNotEmpty() -> state.withRequest(noted).step()
        else -> retry(state.withRequest(noted), noted)
    }
}

internal fun reduceWorkFailed(state: EntryState, id: LeaseId, failure: Failure): Step<EntryState> {
    val lease = state.leases[id] ?: return state.step()
    val notRun = failure.runState == RunState.NOT_RUN && !lease.answerStarted
    return when {
        lease.stage != LeaseStage.DISPATCHED -> releaseLease(state, id)
            .then { refused(it, lease, undispatched(lease, failure)) }

        else -> releaseLease(state, id).then { failedWork(it, lease, failure, notRun) }
    }
}

private fun failedWork(
    state: EntryState,
    lease: LeaseRecord,
    failure: Failure,
    notRun: Boolean
): Step<EntryState> {
    val record = state.requests[lease.request] ?: return state.step()
    val over = record.copy(running = null)
    return when {
        record.group != null -> failGroup(state, over, failure, lease)

        notRun -> {
            val noted = over.withTried(lease.host).copy(lastRefusal = failure)
            retry(state.withRequest(noted), noted)
        }

        lease.kind == WorkKind.GENERATION -> moveOn(state, over, lease, failure)

        lease.answerStarted -> failWith(state, over, failure.copy(runState = RunState.RAN))

        else -> failWith(state, over, failure)
    }
}

/** Continues generation on another endpoint from the text delivered so far. */
internal fun moveOn(
    state: EntryState,
    record: RequestRecord,
    lease: LeaseRecord,
    failure: Failure
): Step<EntryState> {
    val ran = record.answerBegan || failure.runState == RunState.RAN
    val history = if (ran || record.history == RunState.RAN) RunState.RAN else RunState.UNKNOWN
    val moved = record.withTried(lease.host).copy(
        phase = RequestPhase.WAITING,
        running = null,
        attempt = 0,
        waits = 0,
        moves = record.moves + 1,
        deliveredBefore = record.delivered,
        history = history
    )
    if (moved.moves > MOST_MOVES || moved.outputLeft <= Tokens.ZERO) {
        return fail(state.withRequest(moved), moved, failure.kind, failure.detail)
    }
    val log = logEffect(
        LogEvent.REQUEST_MOVED,
        "request" to record.id,
        "from" to lease.host,
        "delivered_tokens" to record.delivered,
        "cause" to failure.kind.code
    )
    return state.withRequest(moved).step(log).then { place(it, moved) }
}

/** A lease that its endpoint lost or that cannot be reached any more. */
internal fun loseLease(state: EntryState, lease: LeaseRecord): Step<EntryState> {
    val lost = Failure(ErrorKind.ENDPOINT_LOST, "the endpoint ${lease.host} was lost")
    return when {
        lease.stage != LeaseStage.DISPATCHED -> releaseLease(state, lease.lease)
            .then { refused(it, lease, undispatched(lease, lost)) }

        lease.kind == WorkKind.ACTION -> {
            val unknown = Failure(ErrorKind.ACTION_OUTCOME_UNKNOWN, lost.detail)
            failedWork(state.withoutLease(lease.lease), lease, unknown, notRun = false)
        }

        else -> releaseLease(state, lease.lease)
            .then { failedWork(it, lease, lost, notRun = false) }
    }
}

/**
 * The failure of a lease that was never dispatched. Only an agent's own refusal tells that an
 * action has not run, since an earlier request may have had the same key.
 */
private fun undispatched(lease: LeaseRecord, failure: Failure): Failure {
    val runState = if (lease.kind == WorkKind.ACTION) RunState.UNKNOWN else RunState.NOT_RUN
    return Failure(ErrorKind.NO_ENDPOINT, failure.detail, runState)
}

private fun unwanted(lease: LeaseRecord): Failure = undispatched(
    lease,
    Failure(ErrorKind.NO_ENDPOINT, "${lease.host} may not get new work any more")
)

/** Documents or hosts changed: takes back what waits at endpoints that may not get new work. */
internal fun withdrawUnwanted(state: EntryState): Step<EntryState> {
    val unwanted = state.leases.values.filter { lease ->
        val service = state.requests[lease.request]?.terms?.service
        val document = service?.let { state.common.documents.inForce(it) }
        lease.stage == LeaseStage.ASKED &&
            (document == null || !mayAsk(state.common, document, lease.host))
    }
    return state.step().thenEach(unwanted) { next, lease ->
        if (lease.lease in next.leases) {
            releaseLease(next, lease.lease).then { refused(it, lease, unwanted(lease)) }
        } else {
            next.step()
        }
    }
}

internal fun lateGrant() = Failure(
    ErrorKind.GROUP_UNAVAILABLE,
    "an endpoint of the group did not grant in time",
    RunState.NOT_RUN
)

// Bounds the work of a request that fails on each endpoint it reaches.
private const val MOST_MOVES = 3
