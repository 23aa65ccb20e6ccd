package org.gypsumroute.api

/** Events from orders about reserved memory. */
sealed interface ReservationEvent : Event {
    /** An engine set the memory aside. */
    data class Reserved(val reservation: ReservationId) : ReservationEvent

    /** The memory is not set aside, or nobody can tell. */
    data class Refused(val reservation: ReservationId, val cause: String) : ReservationEvent

    /** A release was answered or failed; the reservation's own time ends it in the latter case. */
    data class Released(val reservation: ReservationId, val cause: String?) : ReservationEvent
}
