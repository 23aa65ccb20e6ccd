/*
 * Answers to grant requests: issued, queued or refused.
 *
 * A refusal here is always true to `not_run`: nothing has been handed to the engine yet.
 */
package org.gypsumroute.core

import kotlin.time.Duration
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.Moment
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.Step
import org.gypsumroute.api.WorkKind
import org.gypsumroute.api.WorkOrder

internal fun requestGrant(state: AgentState, peer: HostId, order: WorkOrder): Step<AgentState> {
    val known = state.leases[order.lease]
    return when {
        known != null -> repeatAnswer(state, known)
        state.ledger[order.lease] != null -> state.step()
        order.kind == WorkKind.ACTION -> requestAction(state, peer, order)
        else -> admit(state, peer, order)
    }
}

/** Refuses the order for a lasting reason, or queues it and grants what can be granted. */
internal fun admit(state: AgentState, peer: HostId, order: WorkOrder): Step<AgentState> {
    val refusal = loadIndependentRefusal(state, order)
    val document = state.common.documents.inForce(order.service)
    val lease = newLease(state, peer, order, document)
    return when {
        lease == null -> state.step()

        refusal != null -> refuse(state, lease, refusal)

        lease.latestStart <= state.common.now ->
            refuse(state, lease, lateFailure("the prefill would outlast the time left"))

        document == null -> state.step()

        else -> enqueue(state, lease).then { grantWaiting(it) }.then { current ->
            current.leases[lease.id]?.takeIf { it.phase == LeasePhase.QUEUED }
                ?.let { answerQueued(current, it, document) } ?: current.step()
        }
    }
}

internal fun newLease(
    state: AgentState,
    peer: HostId,
    order: WorkOrder,
    document: ServiceDocument?
): Lease? {
    val incarnation = state.common.peers[peer]?.incarnation ?: return null
    val now = state.common.now
    val deadline = now + order.remaining
    val prefill = document?.let { state.prefillTime(it, demandOf(it, order)) } ?: Duration.ZERO
    return Lease(
        order = order,
        peer = peer,
        peerIncarnation = incarnation,
        phase = LeasePhase.QUEUED,
        requestedAt = now,
        deadline = deadline,
        expiresAt = now + state.common.timings.leaseTime,
        latestStart = Moment(deadline.milliseconds - prefill.inWholeMilliseconds)
    )
}

internal fun AgentState.prefillTime(document: ServiceDocument, demand: Demand): Duration =
    if (demand.plain) {
        Duration.ZERO
    } else {
        common.policies.prefillEstimate(
            demand.prompt,
            document.ramp
        )
    }

private fun enqueue(state: AgentState, lease: Lease): Step<AgentState> {
    val others = state.queue.mapNotNull { state.leases[it]?.order?.organisation }.toSet()
    val organisation = lease.order.organisation
    val floor = others.minOfOrNull { state.served[it] ?: 0.0 } ?: 0.0
    val served = when {
        others.isEmpty() -> state.served.clear()
        organisation in others -> state.served
        else -> state.served.put(organisation, maxOf(state.served[organisation] ?: 0.0, floor))
    }
    return putLease(state.copy(queue = state.queue.add(lease.id), served = served), lease)
}

/** Decides on a request that could not be granted at once. */
private fun answerQueued(
    state: AgentState,
    lease: Lease,
    document: ServiceDocument
): Step<AgentState> {
    val wait = expectedWait(
        state.copy(queue = state.queue.remove(lease.id)),
        document,
        classIndex(document, lease.order)
    )
    return when {
        state.queue.size > document.limits.queuePerEndpoint ->
            refuseQueued(
                state,
                lease,
                Failure(
                    ErrorKind.OVERLOADED,
                    "the queue is full",
                    RunState.NOT_RUN,
                    wait.asRetryAfter()
                )
            )

        state.common.now + wait >= lease.latestStart ->
            refuseQueued(state, lease, lateFailure("expected wait is $wait"))

        else -> Step(
            state,
            state.toEntry(lease, PeerMessage.GrantQueued(lease.id, wait)) +
                grantCount(lease, "queued")
        )
    }
}

private fun repeatAnswer(state: AgentState, lease: Lease): Step<AgentState> {
    val message = when (lease.phase) {
        LeasePhase.GRANTED -> grantIssued(state, lease)
        LeasePhase.QUEUED -> PeerMessage.GrantQueued(lease.id, Duration.ZERO)
        else -> null
    }
    return Step(state, message?.let { state.toEntry(lease, it) }.orEmpty())
}

/** Grants queued work for as long as the queue order finds some that fits. */
internal fun grantWaiting(state: AgentState): Step<AgentState> {
    var step = state.step()
    while (true) {
        val next = nextToGrant(step.state) ?: return step
        step = step.then { grantQueued(it, next) }
    }
}

private fun nextToGrant(state: AgentState): Lease? {
    if (state.queue.isEmpty()) return null
    val waiting = state.queue.mapNotNull { waitingWork(state, it) }
    val question = QueueContext(
        now = state.common.now,
        waiting = waiting.map { it.work },
        fits = { work ->
            waiting.first { it.work === work }.let { state.fits(it.document, it.demand) }
        },
        served = state.served
    )
    val chosen = state.common.policies.queueOrder(question)?.let { waiting.getOrNull(it) }
    return chosen?.takeIf { state.fits(it.document, it.demand) }?.lease
}

private class Waiting(
    val lease: Lease,
    val document: ServiceDocument,
    val demand: Demand,
    val work: QueuedWork
)

/** Null for work whose entry is not connected, since a grant would not reach it. */
private fun waitingWork(state: AgentState, id: LeaseId): Waiting? {
    val lease = state.leases[id] ?: return null
    val document = state.common.documents.inForce(lease.order.service) ?: return null
    if (state.leaseOf(lease.peer, id) == null) return null
    val demand = demandOf(document, lease.order)
    val work = QueuedWork(
        organisation = lease.order.organisation,
        lengthClass = lengthClass(document, demand.lengthClass),
        neededTokens = demand.tokens,
        queuedAt = lease.requestedAt,
        deadline = lease.deadline
    )
    return Waiting(lease, document, demand, work)
}

private fun grantQueued(state: AgentState, lease: Lease): Step<AgentState> {
    val document = state.common.documents.inForce(lease.order.service) ?: return state.step()
    val dequeued = state.copy(queue = state.queue.remove(lease.id))
    val claim = claimAction(dequeued, lease)
    return when (claim) {
        is ActionClaim.Refused -> refuseQueued(state, lease, claim.failure)
        is ActionClaim.Replay -> grantReplay(dequeued, lease, claim.recordedLease)
        is ActionClaim.Fresh -> grantCapacity(dequeued, lease, document, claim.sequence)
    }
}

private fun grantCapacity(
    state: AgentState,
    lease: Lease,
    document: ServiceDocument,
    action: Long?
): Step<AgentState> {
    val now = state.common.now
    val demand = demandOf(document, lease.order)
    val organisation = lease.order.organisation
    val weight = document.organisations.find { it.organisation == organisation }?.weight ?: 1
    val work = maxOf(demand.tokens.count, 1).toDouble() / maxOf(weight, 1)
    val reserved = state.copy(
        ledger = state.ledger.put(reservationOf(lease, demand, now, action)),
        served = state.served.put(organisation, (state.served[organisation] ?: 0.0) + work),
        actions = if (action == null) state.actions else state.actions.claimed(action, lease.id)
    )
    return issue(reserved, lease)
}

private fun reservationOf(lease: Lease, demand: Demand, now: Moment, action: Long?) = Reservation(
    lease = lease.id,
    service = lease.order.service,
    kind = lease.order.kind,
    lengthClass = demand.lengthClass,
    prompt = demand.prompt,
    tokens = demand.tokens,
    grouped = demand.grouped,
    grantedAt = now,
    since = now,
    action = action
)

/** Tells the entry of its grant, which lapses unless it is used in time. */
internal fun issue(state: AgentState, lease: Lease): Step<AgentState> {
    val granted = lease.copy(
        phase = LeasePhase.GRANTED,
        expiresAt = state.common.now + state.common.timings.grantTime
    )
    val waited = (state.common.now - lease.requestedAt).inWholeMilliseconds / MILLISECONDS
    return putLease(state, granted).then {
        Step(
            it,
            it.toEntry(granted, grantIssued(it, granted)) +
                grantCount(lease, "granted") +
                RuntimeEffect.Observe(Metric.QUEUE_WAIT, labelsOf(lease), waited)
        )
    }
}

private fun grantIssued(state: AgentState, lease: Lease): PeerMessage = PeerMessage.GrantIssued(
    lease.id,
    maxOf(lease.expiresAt - state.common.now, Duration.ZERO),
    endpointSummary(state)
)

/** Refuses a lease that was never granted. */
internal fun refuse(state: AgentState, lease: Lease, failure: Failure): Step<AgentState> {
    val message = PeerMessage.GrantRefused(lease.id, failure, endpointSummary(state))
    return Step(state, state.toEntry(lease, message) + grantCount(lease, failure.kind.code))
}

internal fun refuseQueued(state: AgentState, lease: Lease, failure: Failure): Step<AgentState> =
    endLease(state, lease).then { refuse(it, lease, failure) }

internal fun lateFailure(detail: String) =
    Failure(ErrorKind.DEADLINE_UNREACHABLE, detail, RunState.NOT_RUN)

private fun grantCount(lease: Lease, outcome: String) =
    RuntimeEffect.Count(Metric.GRANTS, labelsOf(lease).copy(outcome = outcome))

private fun labelsOf(lease: Lease) =
    MetricLabels(service = lease.order.service, lengthClass = lease.order.lengthClass)

private const val MILLISECONDS = 1000.0
