/*
 * Handles what agents report about this entry's leases: grants, refusals and failed work.
 */
package org.gypsumroute.core.leases

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
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.actions.reduceActionRefused
import org.gypsumroute.core.groups.failGroup
import org.gypsumroute.core.groups.reduceMemberGranted
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.requests.RequestPhase
import org.gypsumroute.core.requests.RequestRecord
import org.gypsumroute.core.requests.fail
import org.gypsumroute.core.requests.failWith
import org.gypsumroute.core.requests.mayReceiveNewWork
import org.gypsumroute.core.requests.place
import org.gypsumroute.core.requests.releaseLease
import org.gypsumroute.core.requests.retry
import org.gypsumroute.core.requests.withExcludedHost
import org.gypsumroute.core.requests.withLease
import org.gypsumroute.core.requests.withRequest
import org.gypsumroute.core.requests.withoutLease
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

internal fun reduceGrantIssued(
    state: EntryState,
    event: PeerEvent.Received,
    id: LeaseId
): Step<EntryState> {
    val lease = state.leases[id]
        ?: return state.step(PeerEffect.Send(event.connection, PeerMessage.LeaseRelease(id)))
    val record = state.requests[lease.request]
    val document = record?.let { state.common.documents.inForce(it.spec.service) }
    return when {
        record == null || lease.stage != LeaseStage.ASKED -> state.step()

        document == null || !mayReceiveNewWork(state.common, document, lease.host) ->
            releaseLease(state, id).then {
                reduceLeaseRefused(it, lease, ineligibleHostFailure(lease))
            }

        lease.groupSegment != null -> reduceMemberGranted(state, record, lease)

        else -> {
            val others = record.leases.remove(id)
            state.step().thenEach(others) { next, other -> releaseLease(next, other) }
                .then { dispatch(it, lease, emptyList()) }
        }
    }
}

/** Dispatches the work of a granted lease to its endpoint and makes its answer the one to read. */
internal fun dispatch(
    state: EntryState,
    lease: LeaseRecord,
    imports: List<SegmentHandle>
): Step<EntryState> {
    val record = state.requests[lease.request] ?: return state.step()
    val started = lease.copy(stage = LeaseStage.DISPATCHED, imports = imports)
    val running = record.copy(
        phase = RequestPhase.RUNNING,
        runningLease = lease.lease,
        dataCentre = state.common.hosts[lease.host]?.dataCentre
    )
    val next = state.withLease(started).withRequest(running)
    val limit = record.spec.outputLimit.takeIf { lease.kind == WorkKind.GENERATION }
    val read = CallerEffect.ReadAnswer(record.id, lease.lease, limit)
        .takeIf { lease.kind != WorkKind.SEGMENT }
    val cancel = RuntimeEffect.CancelTimer(TimerId.Attempt(record.id))
    return Step(
        next,
        listOf(cancel) + dispatchEffects(next, running, started) + listOfNotNull(read)
    )
}

/** The effects that hand the work of a lease to its endpoint; none while it is not connected. */
internal fun dispatchEffects(state: EntryState, record: RequestRecord, lease: LeaseRecord) =
    state.common.peers[lease.host]?.connection?.let { connection ->
        val message = PeerMessage.Dispatch(
            lease = lease.lease,
            bodyBytes = record.spec.bodyBytes,
            outputLimit = dispatchOutputLimit(record, lease),
            imports = lease.imports
        )
        listOf(
            PeerEffect.Send(connection, message),
            CallerEffect.Upload(record.id, lease.lease, connection, lease.groupSegment)
        )
    }.orEmpty()

private fun dispatchOutputLimit(record: RequestRecord, lease: LeaseRecord): Tokens =
    if (lease.kind == WorkKind.GENERATION) {
        record.spec.outputLimit - record.deliveredByEarlierLeases
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
        reduceLeaseRefused(state.withoutLease(id), lease, failure)
    }
}

/**
 * Handles the refusal or loss of a lease whose work was never dispatched, after the lease was
 * removed. While other leases of the request are open, only the host is excluded.
 */
internal fun reduceLeaseRefused(
    state: EntryState,
    lease: LeaseRecord,
    failure: Failure
): Step<EntryState> {
    val record = state.requests[lease.request] ?: return state.step()
    val noted = record.withExcludedHost(lease.host).copy(lastRefusal = failure)
    return when {
        record.group != null -> failGroup(state, noted, failure, lease)
        lease.kind == WorkKind.ACTION -> reduceActionRefused(state, noted, failure)
        record.leases.isNotEmpty() -> state.withRequest(noted).step()
        else -> retry(state.withRequest(noted), noted)
    }
}

internal fun reduceWorkFailed(state: EntryState, id: LeaseId, failure: Failure): Step<EntryState> {
    val lease = state.leases[id] ?: return state.step()
    val notRun = failure.runState == RunState.NOT_RUN && !lease.hasOutput
    return when {
        lease.stage != LeaseStage.DISPATCHED -> releaseLease(state, id)
            .then { reduceLeaseRefused(it, lease, undispatchedFailure(lease, failure)) }

        else -> releaseLease(state, id).then {
            reduceDispatchedWorkFailed(it, lease, failure, notRun)
        }
    }
}

private fun reduceDispatchedWorkFailed(
    state: EntryState,
    lease: LeaseRecord,
    failure: Failure,
    notRun: Boolean
): Step<EntryState> {
    val record = state.requests[lease.request] ?: return state.step()
    val stopped = record.copy(runningLease = null)
    return when {
        record.group != null -> failGroup(state, stopped, failure, lease)

        notRun -> {
            val noted = stopped.withExcludedHost(lease.host).copy(lastRefusal = failure)
            retry(state.withRequest(noted), noted)
        }

        lease.kind == WorkKind.GENERATION -> failOver(state, stopped, lease, failure)

        lease.hasOutput -> failWith(state, stopped, failure.copy(runState = RunState.RAN))

        else -> failWith(state, stopped, failure)
    }
}

/**
 * Continues generation on another endpoint: the text delivered so far becomes part of the prompt,
 * and the output limit shrinks by it.
 */
internal fun failOver(
    state: EntryState,
    record: RequestRecord,
    lease: LeaseRecord,
    failure: Failure
): Step<EntryState> {
    val ran = record.answerBegan || failure.runState == RunState.RAN
    val earlierRan = ran || record.earlierWorkRunState == RunState.RAN
    val moved = record.withExcludedHost(lease.host).copy(
        phase = RequestPhase.WAITING,
        runningLease = null,
        attempt = 0,
        backoffCount = 0,
        failovers = record.failovers + 1,
        deliveredByEarlierLeases = record.deliveredTokens,
        earlierWorkRunState = if (earlierRan) RunState.RAN else RunState.UNKNOWN
    )
    if (moved.failovers > MAX_FAILOVERS || moved.remainingOutput <= Tokens.ZERO) {
        return fail(state.withRequest(moved), moved, failure.kind, failure.detail)
    }
    val log = logEffect(
        LogEvent.REQUEST_MOVED,
        "request" to record.id,
        "from" to lease.host,
        "delivered_tokens" to record.deliveredTokens,
        "cause" to failure.kind.code
    )
    return state.withRequest(moved).step(log).then { place(it, moved) }
}

/** Handles a lease that its endpoint has lost, or whose endpoint cannot be reached any more. */
internal fun reduceLeaseLost(state: EntryState, lease: LeaseRecord): Step<EntryState> {
    val lost = Failure(ErrorKind.ENDPOINT_LOST, "the endpoint ${lease.host} was lost")
    return when {
        lease.stage != LeaseStage.DISPATCHED -> releaseLease(state, lease.lease)
            .then { reduceLeaseRefused(it, lease, undispatchedFailure(lease, lost)) }

        lease.kind == WorkKind.ACTION -> {
            val unknown = Failure(ErrorKind.ACTION_OUTCOME_UNKNOWN, lost.detail)
            reduceDispatchedWorkFailed(
                state.withoutLease(lease.lease),
                lease,
                unknown,
                notRun = false
            )
        }

        else -> releaseLease(state, lease.lease)
            .then { reduceDispatchedWorkFailed(it, lease, lost, notRun = false) }
    }
}

/**
 * The failure of a lease that was never dispatched. For an action the run state is unknown, because
 * an earlier request with the same key may have run it; only a refusal by the agent can tell.
 */
private fun undispatchedFailure(lease: LeaseRecord, failure: Failure): Failure {
    val runState = if (lease.kind == WorkKind.ACTION) RunState.UNKNOWN else RunState.NOT_RUN
    return Failure(ErrorKind.NO_ENDPOINT, failure.detail, runState)
}

private fun ineligibleHostFailure(lease: LeaseRecord): Failure = undispatchedFailure(
    lease,
    Failure(ErrorKind.NO_ENDPOINT, "${lease.host} may not get new work any more")
)

/**
 * Releases the leases that wait for a grant at endpoints that may not receive new work any more,
 * after documents or hosts changed.
 */
internal fun releaseIneligibleLeases(state: EntryState): Step<EntryState> {
    val ineligible = state.leases.values.filter { lease ->
        val service = state.requests[lease.request]?.spec?.service
        val document = service?.let { state.common.documents.inForce(it) }
        lease.stage == LeaseStage.ASKED &&
            (document == null || !mayReceiveNewWork(state.common, document, lease.host))
    }
    return state.step().thenEach(ineligible) { next, lease ->
        if (lease.lease in next.leases) {
            releaseLease(next, lease.lease).then {
                reduceLeaseRefused(it, lease, ineligibleHostFailure(lease))
            }
        } else {
            next.step()
        }
    }
}

internal fun lateGrantFailure() = Failure(
    ErrorKind.GROUP_UNAVAILABLE,
    "an endpoint of the group did not grant in time",
    RunState.NOT_RUN
)

// Bounds the work spent on a request that fails on every endpoint that takes it.
private const val MAX_FAILOVERS = 3
