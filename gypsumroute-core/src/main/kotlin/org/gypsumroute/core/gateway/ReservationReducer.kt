/*
 * Memory that engines set aside for parts of prompts that no engine holds alone.
 *
 * A reservation belongs to one request and is given back on every way in which that ends. Its time
 * is short and renewed, so that a release that is lost, or a gateway that dies, leaves memory
 * unused for a moment only.
 */
package org.gypsumroute.core.gateway

import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.ReservationEffect
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.api.ReservationId
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.GatewayState
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

/** Sends the request to the chosen endpoint, after reserving memory if the choice needs that. */
internal fun reserveOrSend(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice
): Step<GatewayState> {
    if (choice.reservations.isEmpty()) return send(state, record, choice)
    val reservations = choice.reservations.entries.withIndex().associate { (index, wanted) ->
        val id = ReservationId("${state.common.node.incarnation}-${state.nextAttempt}-$index")
        val address = state.endpoints.getValue(wanted.key).record.address
        id to Reservation(wanted.key, address, wanted.value)
    }
    val waiting = record.copy(
        reserving = choice,
        reservations = record.reservations.putAll(reservations)
    )
    return state.copy(
        requests = state.requests.put(record.request, waiting),
        nextAttempt = state.nextAttempt + 1
    ).let { Step(it, reserveEffects(it, reservations) + renewalTimer(it)) }
}

/** Begins the time of all reservations anew. */
internal fun renewReservations(state: GatewayState): Step<GatewayState> {
    val held = state.requests.values.flatMap { it.reservations.entries }
        .associate { it.key to it.value }
    if (held.isEmpty()) return state.step()
    return Step(state, reserveEffects(state, held) + renewalTimer(state))
}

private fun renewalTimer(state: GatewayState) = RuntimeEffect.SetTimer(
    TimerId.ReservationRenewal,
    state.bounds.reservationHold / RENEWALS_IN_HOLD
)

/** Gives back all memory of a request. */
internal fun releaseReservations(state: GatewayState, record: ForwardRecord): Step<GatewayState> =
    Step(
        state,
        record.reservations.map { (id, reservation) ->
            ReservationEffect.Release(id, reservation.endpoint, reservation.address)
        }
    )

private fun reserveEffects(state: GatewayState, reservations: Map<ReservationId, Reservation>) =
    reservations.map { (id, reservation) ->
        ReservationEffect.Reserve(
            id,
            reservation.endpoint,
            reservation.address,
            reservation.tokens,
            state.bounds.reservationHold
        )
    }

private fun reduceReserved(state: GatewayState, id: ReservationId): Step<GatewayState> {
    val record = holderOf(state, id) ?: return state.step()
    val reservation = record.reservations.getValue(id)
    val next = record.copy(
        reservations = record.reservations.put(id, reservation.copy(held = true))
    )
    val noted = state.copy(requests = state.requests.put(record.request, next))
    val choice = record.reserving
    if (choice == null || !next.reservations.values.all { it.held }) return noted.step()
    if (!stands(noted, next, choice)) return chooseAgain(noted, next, "the choice does not stand")
    return noted.step(
        logEffect(
            LogEvent.MEMORY_RESERVED,
            "request" to record.head.callerRequestId,
            "reservations" to next.reservations.size,
            "tokens" to next.reservations.values.sumOf { it.tokens.count }
        )
    ).then { send(it, next.copy(reserving = null), choice) }
}

/** One refusal ends the whole choice; what was set aside elsewhere is given back. */
private fun reduceRefused(
    state: GatewayState,
    event: ReservationEvent.Refused
): Step<GatewayState> {
    val record = holderOf(state, event.reservation) ?: return state.step()
    if (record.reserving == null) return state.step()
    val blamed = record.reservations.getValue(event.reservation).endpoint
    val log = logEffect(
        LogEvent.MEMORY_REFUSED,
        "request" to record.head.callerRequestId,
        "endpoint" to blamed,
        "cause" to event.cause
    )
    val warned = record.copy(tried = record.tried.add(blamed))
    return state.step(log).then { chooseAgain(it, warned, "no engines have the memory free") }
}

/** Gives the memory back and makes another choice, a few times at most. */
private fun chooseAgain(
    state: GatewayState,
    record: ForwardRecord,
    cause: String
): Step<GatewayState> {
    val freed = record.copy(
        reserving = null,
        reservations = record.reservations.clear(),
        refusedReservations = record.refusedReservations + 1
    )
    return releaseReservations(state, record).then { next ->
        val choice = if (freed.refusedReservations < MOST_REFUSALS) {
            next.policies.placement(questionFor(next, freed))
        } else {
            null
        }
        if (choice == null) {
            endWithError(next, freed, ErrorKind.OVERLOADED, cause)
        } else {
            reserveOrSend(next, freed, choice)
        }
    }
}

private fun holderOf(state: GatewayState, id: ReservationId): ForwardRecord? =
    state.requests.values.find { id in it.reservations }

private const val RENEWALS_IN_HOLD = 3
private const val MOST_REFUSALS = 3
