/*
 * Answers grant requests: the grant is issued, queued or refused.
 *
 * Refusals here correctly report `not_run`, because nothing has been handed to the engine yet.
 */
package org.gypsumroute.core.admission

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
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.QueueContext
import org.gypsumroute.core.QueuedWork
import org.gypsumroute.core.actions.ActionClaim
import org.gypsumroute.core.actions.claimAction
import org.gypsumroute.core.actions.grantReplay
import org.gypsumroute.core.actions.requestAction
import org.gypsumroute.core.actions.withClaim
import org.gypsumroute.core.leases.Lease
import org.gypsumroute.core.leases.LeasePhase
import org.gypsumroute.core.leases.Reservation
import org.gypsumroute.core.leases.endLease
import org.gypsumroute.core.leases.leaseOf
import org.gypsumroute.core.leases.putLease
import org.gypsumroute.core.leases.sendToEntry
import org.gypsumroute.core.map
import org.gypsumroute.core.peers.endpointSummary
import org.gypsumroute.core.peers.expectedWait
import org.gypsumroute.core.peers.lengthClass
import org.gypsumroute.core.step
import org.gypsumroute.core.then

internal fun requestGrant(state: AgentState, peer: HostId, order: WorkOrder): Step<AgentState> {
    val known = state.leases[order.lease]
    return when {
        known != null -> repeatGrantAnswer(state, known)
        state.ledger[order.lease] != null -> state.step()
        order.kind == WorkKind.ACTION -> requestAction(state, peer, order)
        else -> admit(state, peer, order)
    }
}

/**
 * Refuses an order that the endpoint cannot serve whatever its load or that would miss its
 * deadline. Otherwise queues it and grants as much queued work as fits.
 */
internal fun admit(state: AgentState, peer: HostId, order: WorkOrder): Step<AgentState> {
    val refusal = loadIndependentRefusal(state, order)
    val document = state.common.documents.inForce(order.service)
    val lease = newLease(state, peer, order, document)
    return when {
        lease == null -> state.step()

        refusal != null -> refuse(state, lease, refusal)

        lease.latestStart <= state.common.now ->
            refuse(state, lease, deadlineUnreachable("the prefill would outlast the time left"))

        document == null -> state.step()

        else -> enqueue(state, lease).then { grantQueuedWork(it) }.then { current ->
            current.leases[lease.id]?.takeIf { it.phase == LeasePhase.QUEUED }
                ?.let { confirmOrRefuseQueued(current, it, document) } ?: current.step()
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

/**
 * Queues a lease. An organisation that had nothing queued is raised to the lowest granted work of
 * the others, so that it has no claim to capacity from the time when it sent nothing.
 */
private fun enqueue(state: AgentState, lease: Lease): Step<AgentState> {
    val others = state.queue.mapNotNull { state.leases[it]?.order?.organisation }.toSet()
    val organisation = lease.order.organisation
    val granted = state.grantedWork
    val lowestOfOthers = others.minOfOrNull { granted[it] ?: 0.0 } ?: 0.0
    val grantedWork = when {
        others.isEmpty() -> granted.clear()
        organisation in others -> granted
        else -> granted.put(organisation, maxOf(granted[organisation] ?: 0.0, lowestOfOthers))
    }
    return putLease(state.copy(queue = state.queue.add(lease.id), grantedWork = grantedWork), lease)
}

/**
 * Answers a request that was queued because it could not be granted at once: it is refused if the
 * queue is over its limit or the expected wait is too long, and confirmed as queued otherwise.
 */
private fun confirmOrRefuseQueued(
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
            refuseQueued(state, lease, deadlineUnreachable("expected wait is $wait"))

        else -> Step(
            state,
            state.sendToEntry(lease, PeerMessage.GrantQueued(lease.id, wait)) +
                countGrantOutcome(lease, "queued")
        )
    }
}

private fun repeatGrantAnswer(state: AgentState, lease: Lease): Step<AgentState> {
    val message = when (lease.phase) {
        LeasePhase.GRANTED -> grantIssued(state, lease)
        LeasePhase.QUEUED -> PeerMessage.GrantQueued(lease.id, Duration.ZERO)
        else -> null
    }
    return Step(state, message?.let { state.sendToEntry(lease, it) }.orEmpty())
}

/** Grants queued work as long as the queue order chooses work that fits. */
internal fun grantQueuedWork(state: AgentState): Step<AgentState> {
    var step = state.step()
    while (true) {
        val next = nextFittingLease(step.state) ?: return step
        step = step.then { grantQueued(it, next) }
    }
}

private fun nextFittingLease(state: AgentState): Lease? {
    if (state.queue.isEmpty()) return null
    val waiting = state.queue.mapNotNull { queuedCandidate(state, it) }
    val context = QueueContext(
        now = state.common.now,
        waiting = waiting.map { it.work },
        fits = { work ->
            waiting.first { it.work === work }.let { state.fits(it.document, it.demand) }
        },
        served = state.grantedWork
    )
    val chosen = state.common.policies.queueOrder(context)?.let { waiting.getOrNull(it) }
    return chosen?.takeIf { state.fits(it.document, it.demand) }?.lease
}

private class QueuedCandidate(
    val lease: Lease,
    val document: ServiceDocument,
    val demand: Demand,
    val work: QueuedWork
)

/** A queued lease as a candidate for a grant; null if no grant would reach its entry now. */
private fun queuedCandidate(state: AgentState, id: LeaseId): QueuedCandidate? {
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
    return QueuedCandidate(lease, document, demand, work)
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
    val granted = state.grantedWork[organisation] ?: 0.0
    val reserved = state.copy(
        ledger = state.ledger.put(reservationOf(lease, demand, now, action)),
        grantedWork = state.grantedWork.put(organisation, granted + work),
        actions = if (action == null) state.actions else state.actions.withClaim(action, lease.id)
    )
    return issueGrant(reserved, lease)
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
    holdSince = now,
    action = action
)

/** Sends a grant to its entry. The grant expires after the grant time unless it is dispatched. */
internal fun issueGrant(state: AgentState, lease: Lease): Step<AgentState> {
    val granted = lease.copy(
        phase = LeasePhase.GRANTED,
        expiresAt = state.common.now + state.common.timings.grantTime
    )
    val wait = state.common.now - lease.requestedAt
    val waitSeconds = wait.inWholeMilliseconds / MILLISECONDS_PER_SECOND
    return putLease(state, granted).then {
        Step(
            it,
            it.sendToEntry(granted, grantIssued(it, granted)) +
                countGrantOutcome(lease, "granted") +
                RuntimeEffect.Observe(Metric.QUEUE_WAIT, labelsOf(lease), waitSeconds)
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
    return Step(
        state,
        state.sendToEntry(lease, message) + countGrantOutcome(lease, failure.kind.code)
    )
}

internal fun refuseQueued(state: AgentState, lease: Lease, failure: Failure): Step<AgentState> =
    endLease(state, lease).then { refuse(it, lease, failure) }

internal fun deadlineUnreachable(detail: String) =
    Failure(ErrorKind.DEADLINE_UNREACHABLE, detail, RunState.NOT_RUN)

private fun countGrantOutcome(lease: Lease, outcome: String) =
    RuntimeEffect.Count(Metric.GRANTS, labelsOf(lease).copy(outcome = outcome))

private fun labelsOf(lease: Lease) =
    MetricLabels(service = lease.order.service, lengthClass = lease.order.lengthClass)

private const val MILLISECONDS_PER_SECOND = 1000.0
