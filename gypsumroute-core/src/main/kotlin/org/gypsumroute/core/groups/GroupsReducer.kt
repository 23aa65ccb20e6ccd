/*
 * Handles groups of endpoints that serve one long prompt together.
 *
 * The leases of a group are requested one after the other in host id order, each with a bounded
 * wait, and all are released if one is refused or not granted in time. This prevents a deadlock in
 * which groups wait for each other's leases in a cycle.
 */
package org.gypsumroute.core.groups

import kotlin.time.Duration
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.GroupSegment
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RunState
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.Step
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.PlacementCandidate
import org.gypsumroute.core.leases.LeaseRecord
import org.gypsumroute.core.leases.LeaseStage
import org.gypsumroute.core.leases.dispatch
import org.gypsumroute.core.leases.lateGrantFailure
import org.gypsumroute.core.leases.releaseLease
import org.gypsumroute.core.requests.RequestPhase
import org.gypsumroute.core.requests.RequestRecord
import org.gypsumroute.core.requests.canMeetDeadline
import org.gypsumroute.core.requests.candidates
import org.gypsumroute.core.requests.consumeRetryBudget
import org.gypsumroute.core.requests.dispatch
import org.gypsumroute.core.requests.fail
import org.gypsumroute.core.requests.mayReceiveNewWork
import org.gypsumroute.core.requests.releaseLease
import org.gypsumroute.core.requests.requestLease
import org.gypsumroute.core.requests.retryDelay
import org.gypsumroute.core.requests.scheduleNextAttempt
import org.gypsumroute.core.requests.setAttemptTimer
import org.gypsumroute.core.requests.waitForEndpoint
import org.gypsumroute.core.requests.withExcludedHost
import org.gypsumroute.core.requests.withLease
import org.gypsumroute.core.requests.withRequest
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

internal fun needsGroup(record: RequestRecord, candidates: List<PlacementCandidate>): Boolean {
    if (record.spec.kind != WorkKind.GENERATION) return false
    val largest = candidates.maxOfOrNull { it.summary?.engineMemory?.count ?: 0 } ?: 0
    val neededTokens = (record.nextPromptTokens + record.remainingOutput).count
    return largest > 0 && neededTokens > largest * USABLE_MEMORY_SHARE
}

internal fun placeGroup(
    state: EntryState,
    record: RequestRecord,
    document: ServiceDocument,
    candidates: List<PlacementCandidate>
): Step<EntryState> {
    val plan = planGroup(state, record, document, candidates)
    return when {
        !canMeetDeadline(state, record, document, Duration.ZERO) -> fail(
            state,
            record,
            ErrorKind.DEADLINE_UNREACHABLE,
            "the prompt cannot be processed before the deadline"
        )

        plan == null ->
            waitForEndpoint(state, record, document, candidates, ErrorKind.GROUP_UNAVAILABLE)

        else -> {
            val asking = record.copy(
                phase = RequestPhase.ASKING,
                attempt = record.attempt + 1,
                group = plan
            )
            requestMemberLease(state.withRequest(asking), asking, plan, 0)
        }
    }
}

private fun requestMemberLease(
    state: EntryState,
    record: RequestRecord,
    plan: GroupPlan,
    index: Int
): Step<EntryState> {
    val member = plan.members[index]
    val last = index == plan.members.lastIndex
    val segment = GroupSegment(index, plan.members.size)
    val kind = if (last) WorkKind.GENERATION else WorkKind.SEGMENT
    val wait = state.common.documents.inForce(record.spec.service)?.group?.grantWait
        ?: state.common.timings.grantTime
    return requestLease(state, record.id, member.host, MemberRequest(kind, member.tokens, segment))
        .then { it.step(setAttemptTimer(record.id, wait)) }
}

/**
 * Handles the grant of a member: requests the lease of the next member, or dispatches the first
 * segment once all members have granted.
 */
internal fun reduceMemberGranted(
    state: EntryState,
    record: RequestRecord,
    lease: LeaseRecord
): Step<EntryState> {
    val plan = record.group ?: return releaseLease(state, lease.lease)
    val index = lease.groupSegment?.index ?: 0
    val members = plan.members.mapIndexed { position, member ->
        if (position == index) member.copy(lease = lease.lease) else member
    }
    val granted = record.copy(group = plan.copy(members = members))
    val next = state.withRequest(granted).withLease(lease.copy(stage = LeaseStage.GRANTED))
    return when {
        index < plan.members.lastIndex ->
            if (mayMemberReceiveNewWork(next, granted, index + 1)) {
                requestMemberLease(next, granted, plan.copy(members = members), index + 1)
            } else {
                failGroup(next, granted, lateGrantFailure(), null)
            }

        else -> dispatchMember(next, granted, 0)
    }
}

private fun mayMemberReceiveNewWork(state: EntryState, record: RequestRecord, index: Int): Boolean {
    val document = state.common.documents.inForce(record.spec.service) ?: return false
    val member = record.group?.members?.getOrNull(index) ?: return false
    return mayReceiveNewWork(state.common, document, member.host)
}

private fun dispatchMember(state: EntryState, record: RequestRecord, index: Int): Step<EntryState> {
    val plan = record.group ?: return state.step()
    val lease = plan.members.getOrNull(index)?.lease?.let { state.leases[it] }
        ?: return failGroup(state, record, lateGrantFailure(), null)
    return dispatch(state, lease, plan.handles)
}

internal fun reduceSegmentReady(
    state: EntryState,
    message: PeerMessage.SegmentReady
): Step<EntryState> {
    val lease = state.leases[message.lease]
    val record = lease?.let { state.requests[it.request] }
    val plan = record?.group
    val expected = lease != null && lease.stage == LeaseStage.DISPATCHED && !lease.hasOutput &&
        lease.kind == WorkKind.SEGMENT
    if (!expected || plan == null) return state.step()
    val index = lease.groupSegment?.index ?: return state.step()
    val ready = record.copy(
        group = plan.copy(handles = plan.handles + message.handle),
        earlierWorkRunState = RunState.RAN
    )
    val next = state.withRequest(ready).withLease(lease.copy(hasOutput = true))
    return dispatchMember(next, ready, index + 1)
}

/** Releases all leases of a group and retries the request if the retry budget allows it. */
internal fun failGroup(
    state: EntryState,
    record: RequestRecord,
    failure: Failure,
    failed: LeaseRecord?
): Step<EntryState> {
    val started = record.leases.any { state.leases[it]?.stage == LeaseStage.DISPATCHED } ||
        (failed?.stage == LeaseStage.DISPATCHED && failure.runState != RunState.NOT_RUN)
    val earlierWorkRunState = when {
        record.answerBegan || record.earlierWorkRunState == RunState.RAN -> RunState.RAN
        started -> RunState.UNKNOWN
        else -> record.earlierWorkRunState
    }
    val freed = record.withExcludedHost(failed?.host).copy(
        phase = RequestPhase.WAITING,
        group = null,
        runningLease = null,
        deliveredByEarlierLeases = record.deliveredTokens,
        earlierWorkRunState = earlierWorkRunState,
        lastRefusal = failure
    )
    return state.withRequest(freed).step()
        .thenEach(record.leases) { next, lease -> releaseLease(next, lease) }
        .then { retryGroup(it, it.requests[record.id] ?: freed, failure) }
}

private fun retryGroup(
    state: EntryState,
    record: RequestRecord,
    failure: Failure
): Step<EntryState> {
    val document = state.common.documents.inForce(record.spec.service)
    val wait = document?.let { retryDelay(state, record, it) }
    return if (wait == null || record.remainingOutput <= Tokens.ZERO) {
        fail(state, record, ErrorKind.GROUP_UNAVAILABLE, failure.detail)
    } else {
        consumeRetryBudget(state, record).then { scheduleNextAttempt(it, record, wait) }
    }
}
