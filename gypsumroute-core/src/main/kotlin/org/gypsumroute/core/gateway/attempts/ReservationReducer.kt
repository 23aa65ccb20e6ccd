/*
 * Reservations of engine memory for parts of prompts that do not fit a single engine.
 *
 * A reservation belongs to one request and is released whichever way the request ends. It holds for
 * a short time only and is renewed, so that a lost release or a crashed gateway leaves the memory
 * unused for no longer than that.
 */
package org.gypsumroute.core.gateway.attempts

import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.ReservationEffect
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.api.ReservationId
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.crashes.endBlocked
import org.gypsumroute.core.gateway.crashes.findBlockedPart
import org.gypsumroute.core.gateway.endpoints.isStillValid
import org.gypsumroute.core.gateway.placement.ForwardChoice
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then

internal fun reduceReservation(state: GatewayState, event: ReservationEvent): Step<GatewayState> =
    when (event) {
        is ReservationEvent.Reserved -> reduceReserved(state, event.reservation)

        is ReservationEvent.Refused -> reduceRefused(state, event)

        is ReservationEvent.Released -> state.step(
            logEffect(
                LogEvent.MEMORY_RELEASED,
                "reservation" to event.reservation,
                "cause" to event.cause
            )
        )
    }

/** Sends the request to the chosen endpoint, or first reserves memory if the choice needs it. */
internal fun reserveOrSend(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice
): Step<GatewayState> {
    if (choice.reservations.isEmpty()) return send(state, record, choice)
    val reservations = choice.reservations.entries.withIndex().associate { (index, wanted) ->
        val id = ReservationId("${state.common.node.incarnation}-${state.nextAttempt}-$index")
        val engine = state.endpoints.getValue(wanted.key).record
        id to Reservation(wanted.key, engine.address, engine.startedAt, wanted.value)
    }
    val waiting = record.copy(
        pendingChoice = choice,
        reservations = record.reservations.putAll(reservations)
    )
    return state.copy(
        requests = state.requests.put(record.request, waiting),
        nextAttempt = state.nextAttempt + 1
    ).let { Step(it, reserveEffects(it, reservations)) }.then { setRenewalTimer(it) }
}

/** Renews all reservations, so that the hold time of each starts again. */
internal fun renewReservations(state: GatewayState): Step<GatewayState> {
    val current = state.requests.values.flatMap { it.reservations.entries }
        .associate { it.key to it.value }
    val next = state.copy(renewalTimerSet = false)
    if (current.isEmpty()) return next.step()
    return Step(next, reserveEffects(next, current)).then { setRenewalTimer(it) }
}

/** Sets the timer for the next renewal of all reservations, unless it is set already. */
private fun setRenewalTimer(state: GatewayState): Step<GatewayState> {
    if (state.renewalTimerSet) return state.step()
    val interval = state.bounds.reservationHold / RENEWALS_PER_HOLD
    return state.copy(renewalTimerSet = true)
        .step(RuntimeEffect.SetTimer(TimerId.ReservationRenewal, interval))
}

/** Releases all memory that is reserved for a request. */
internal fun releaseReservations(state: GatewayState, record: ForwardRecord): Step<GatewayState> =
    Step(
        state,
        record.reservations.map { (id, reservation) ->
            ReservationEffect.Release(
                id,
                reservation.endpoint,
                reservation.address,
                reservation.startedAt
            )
        }
    )

private fun reserveEffects(state: GatewayState, reservations: Map<ReservationId, Reservation>) =
    reservations.map { (id, reservation) ->
        ReservationEffect.Reserve(
            id,
            reservation.endpoint,
            reservation.address,
            reservation.startedAt,
            reservation.tokens,
            state.bounds.reservationHold
        )
    }

private fun reduceReserved(state: GatewayState, id: ReservationId): Step<GatewayState> {
    val record = recordHolding(state, id) ?: return state.step()
    val reservation = record.reservations.getValue(id)
    val next = record.copy(
        reservations = record.reservations.put(id, reservation.copy(confirmed = true))
    )
    val updated = state.copy(requests = state.requests.put(record.request, next))
    val choice = record.pendingChoice
    if (choice == null || !next.reservations.values.all { it.confirmed }) return updated.step()
    val blocked = findBlockedPart(updated, next)
    return when {
        !isStillValid(updated, next, choice) ->
            placeAgain(updated, next, "the choice does not stand")

        blocked != null -> endBlocked(updated, next, blocked)

        else -> updated.step(
            logEffect(
                LogEvent.MEMORY_RESERVED,
                "request" to record.head.callerRequestId,
                "reservations" to next.reservations.size,
                "tokens" to next.reservations.values.sumOf { it.tokens.count }
            )
        ).then { send(it, next.copy(pendingChoice = null), choice) }
    }
}

/** Gives up the whole choice after one refusal; memory reserved elsewhere for it is released. */
private fun reduceRefused(
    state: GatewayState,
    event: ReservationEvent.Refused
): Step<GatewayState> {
    val record = recordHolding(state, event.reservation) ?: return state.step()
    val refusing = record.reservations.getValue(event.reservation).endpoint
    if (record.pendingChoice == null) return reduceRenewalRefused(state, record, event, refusing)
    val log = logEffect(
        LogEvent.MEMORY_REFUSED,
        "request" to record.head.callerRequestId,
        "endpoint" to refusing,
        "cause" to event.cause
    )
    val withoutRefusing = record.copy(triedEndpoints = record.triedEndpoints.add(refusing))
    return state.step(log)
        .then { placeAgain(it, withoutRefusing, "no engines have the memory free") }
}

/**
 * Logs that memory in use could not be renewed. The attempt goes on: the refusal may be that of a
 * lost call, which the next renewal repeats, and an engine that drops the memory ends the attempt.
 */
private fun reduceRenewalRefused(
    state: GatewayState,
    record: ForwardRecord,
    event: ReservationEvent.Refused,
    refusing: EndpointId
): Step<GatewayState> = state.step(
    logEffect(
        LogEvent.MEMORY_REFUSED,
        "request" to record.head.callerRequestId,
        "endpoint" to refusing,
        "reservation" to event.reservation,
        "in_use" to true,
        "cause" to event.cause
    )
)

/** Releases the memory and makes another choice, unless [MAX_FAILED_CHOICES] have failed. */
private fun placeAgain(
    state: GatewayState,
    record: ForwardRecord,
    cause: String
): Step<GatewayState> {
    val released = record.copy(
        pendingChoice = null,
        reservations = record.reservations.clear(),
        failedChoices = record.failedChoices + 1
    )
    return releaseReservations(state, record).then { next ->
        findBlockedPart(next, released)?.let { return@then endBlocked(next, released, it) }
        val choice = if (released.failedChoices < MAX_FAILED_CHOICES) {
            next.policies.placement(placementInputFor(next, released))
        } else {
            null
        }
        if (choice == null) {
            endWithError(next, released, ErrorKind.OVERLOADED, cause)
        } else {
            reserveOrSend(next, released, choice)
        }
    }
}

internal fun recordHolding(state: GatewayState, id: ReservationId): ForwardRecord? =
    state.requests.values.find { id in it.reservations }

private const val RENEWALS_PER_HOLD = 3
private const val MAX_FAILED_CHOICES = 3
