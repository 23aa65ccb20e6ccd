/*
 * Admission of requests to a service with engines: each is sent, waits at the gateway, or is
 * refused, as the admission policy decides.
 *
 * A request that waits was sent nowhere, so that a refusal can promise that it has not run.
 */
package org.gypsumroute.core.gateway.admission

import kotlin.time.Duration
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.ForwardRecord
import org.gypsumroute.core.gateway.attempts.endWithError
import org.gypsumroute.core.gateway.attempts.placementInputFor
import org.gypsumroute.core.gateway.attempts.reserveOrSend
import org.gypsumroute.core.gateway.crashes.endBlocked
import org.gypsumroute.core.gateway.crashes.findBlockedPart
import org.gypsumroute.core.gateway.exchange.gatewayCount
import org.gypsumroute.core.gateway.placement.EngineModel
import org.gypsumroute.core.gateway.placement.ForwardChoice
import org.gypsumroute.core.gateway.placement.ForwardPlacementInput
import org.gypsumroute.core.step
import org.gypsumroute.core.then

/** Admits a request that has just arrived and for which the placement made [choice]. */
internal fun admit(
    state: GatewayState,
    record: ForwardRecord,
    input: ForwardPlacementInput,
    choice: ForwardChoice
): Step<GatewayState> {
    val room = candidateRoom(state, record, input) ?: return reserveOrSend(state, record, choice)
    val known = if (room.isShortWith(readersOf(choice))) {
        state.onAdmission { copy(refusals = refusals.withArrival(record, state.common.now)) }
    } else {
        state
    }
    return decide(known, record, choice, room)
}

/** Decides on a waiting request, with a new placement. */
internal fun decideAgain(
    state: GatewayState,
    record: ForwardRecord,
    input: ForwardPlacementInput,
    choice: ForwardChoice
): Step<GatewayState> {
    val room = candidateRoom(state, record, input) ?: return sendWaiting(state, record, choice)
    return decide(state, record, choice, room)
}

/** The room at the candidates; null for a service without engines. */
private fun candidateRoom(
    state: GatewayState,
    record: ForwardRecord,
    input: ForwardPlacementInput
): ServiceRoom? = input.profile?.let { profile ->
    roomOf(input.candidates, profile, urgentObjective(state, record.service))
}

/** Lets the policy decide on the request, and does what it decides. */
private fun decide(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice,
    room: ServiceRoom
): Step<GatewayState> {
    val input = admissionInput(state, record, choice, room)
    return when (val decision = state.policies.admission(input)) {
        is AdmissionDecision.SendNow -> sendWaiting(state, record, choice)

        is AdmissionDecision.Wait -> wait(state, record, choice, room, decision)

        is AdmissionDecision.Refuse ->
            refuseUnderShortage(state, record, decision.kind, decision.detail)
    }
}

internal fun admissionInput(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice,
    room: ServiceRoom
): AdmissionInput {
    val now = state.common.now
    return AdmissionInput(
        choice = choice,
        answerTime = answerTime(state, record),
        room = room,
        objective = record.arrivedAt + record.route.objective - now,
        remaining = record.deadline - now,
        startWithin = record.wait?.let { it.latestStart - now },
        isUrgent = isUrgent(state, record),
        waitingRequests = state.admission.waiting.size,
        entropy = state.common.entropy
    )
}

/** Time that an engine with all slots in use needs for the answer after its first byte. */
private fun answerTime(state: GatewayState, record: ForwardRecord): Duration {
    val profile = state.published.table?.services?.get(record.service)?.engine
        ?: return Duration.ZERO
    val model = EngineModel(profile)
    val pass = model.passTime(model.slots, record.size.context)
    return model.decodeTime(Tokens(record.size.output), pass)
}

/** Sends the request, which may have waited. */
private fun sendWaiting(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice
): Step<GatewayState> {
    if (record.wait == null) return reserveOrSend(state, record, choice)
    return endWait(state, record, WaitEnd.SENT)
        .then { reserveOrSend(it, record.copy(wait = null), choice) }
}

private fun wait(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice,
    room: ServiceRoom,
    decision: AdmissionDecision.Wait
): Step<GatewayState> {
    val now = state.common.now
    val earlier = record.wait
    val wait = RequestWait(
        since = earlier?.since ?: now,
        reviewAt = now + decision.reviewAfter,
        latestStart = earlier?.latestStart ?: (now + decision.startWithin),
        choice = choice
    )
    val waiting = record.copy(wait = wait)
    val next = state
        .copy(requests = state.requests.put(record.request, waiting))
        .onAdmission { copy(waiting = this.waiting.add(record.request)) }
        .let { setReview(it, decision.reviewAfter) }
    if (earlier != null) return next
    return next
        .then { it.step(waitLog(it, waiting, room), countWait(waiting)) }
        .then { refuseExcess(it, waiting, room) }
}

/** Refuses a request, or sends the first one that waits, if too much work waits with [added]. */
private fun refuseExcess(
    state: GatewayState,
    added: ForwardRecord,
    room: ServiceRoom
): Step<GatewayState> {
    val tooMany = state.admission.waiting.size > MAX_WAITING_REQUESTS
    if (!tooMany && !exceedsDeadlines(state, added, room)) return state.step()
    val waiting = waitingInOrder(state, added.service)
    val refused = leastCostly(state, waiting)
    return when {
        refused != null ->
            refuseUnderShortage(state, refused, ErrorKind.OVERLOADED, TOO_MUCH_WAITS)

        tooMany -> sendFirst(state, waiting)

        else -> state.step()
    }
}

/** Sends the first of these requests, or refuses the last one if there is no choice for it. */
private fun sendFirst(state: GatewayState, waiting: List<ForwardRecord>): Step<GatewayState> {
    val first = waiting.first()
    val blocked = findBlockedPart(state, first)
    if (blocked != null) return endBlocked(state, first, blocked)
    val choice = state.policies.placement(placementInputFor(state, first))
    return if (choice == null) {
        refuseUnderShortage(state, waiting.last(), ErrorKind.OVERLOADED, TOO_MUCH_WAITS)
    } else {
        sendWaiting(state, first, choice)
    }
}

/**
 * Whether the engines cannot read all that waits at the gateways before the request's deadline. A
 * request that waits alone before engines of which half are free says nothing of that.
 */
private fun exceedsDeadlines(
    state: GatewayState,
    record: ForwardRecord,
    room: ServiceRoom
): Boolean {
    val others = waitingRecords(state).count { it.service == record.service } - 1
    if (others == 0 && !room.isHalfUsed) return false
    return backlogTime(state, record.service, room) > record.deadline - state.common.now
}

/** Time until the engines have read their backlog and what is expected to wait at all gateways. */
internal fun backlogTime(state: GatewayState, service: ServiceId, room: ServiceRoom): Duration {
    val waitingHere = waitingRecords(state)
        .filter { it.service == service }
        .fold(Duration.ZERO) { sum, record -> sum + (record.wait?.work ?: Duration.ZERO) }
    val waitingAtAll = waitingHere * state.gatewayCount
    return room.meanBacklog + waitingAtAll / room.engines.coerceAtLeast(1)
}

/** Refuses a request that was sent nowhere, because its service is short of capacity. */
internal fun refuseUnderShortage(
    state: GatewayState,
    record: ForwardRecord,
    kind: ErrorKind,
    detail: String
): Step<GatewayState> {
    val refusals = state.admission.refusals.withRefusal(record, state.common.now)
    return state.onAdmission { copy(refusals = refusals) }
        .step(shortageRefusalLog(state, record, kind, detail), countShortageRefusal(record, kind))
        .then { endWithError(it, record, kind, detail) }
}

/** Removes the request from those that wait; [end] tells what follows. */
internal fun endWait(state: GatewayState, record: ForwardRecord, end: WaitEnd): Step<GatewayState> {
    val wait = record.wait ?: return state.step()
    return state.onAdmission { copy(waiting = waiting.remove(record.request)) }
        .step(measureWait(record, end, state.common.now - wait.since))
}

/** Sets the timer of the next review unless an earlier one is set. */
internal fun setReview(state: GatewayState, after: Duration): Step<GatewayState> {
    val reviewAt = state.common.now + after
    val current = state.admission.reviewAt
    if (current != null && current <= reviewAt) return state.step()
    return state.onAdmission { copy(reviewAt = reviewAt) }
        .step(RuntimeEffect.SetTimer(TimerId.AdmissionReview, after))
}

internal inline fun GatewayState.onAdmission(
    change: AdmissionState.() -> AdmissionState
): GatewayState = copy(admission = admission.change())

/** Bounds the memory for the bodies of waiting requests and the time of a review. */
private const val MAX_WAITING_REQUESTS = 32
private const val TOO_MUCH_WAITS = "too much work waits"
