package org.gypsumroute.api

/** Results of orders about reserved memory. */
sealed interface ReservationEvent : Event {
    /** The engine reserved the memory. */
    data class Reserved(val reservation: ReservationId) : ReservationEvent

    /** The memory is not reserved, or it is unknown whether it is. */
    data class Refused(val reservation: ReservationId, val cause: String) : ReservationEvent

    /**
     * A release succeeded, in which case [cause] is null, or failed. After a failure the
     * reservation ends when its time is over.
     */
    data class Released(val reservation: ReservationId, val cause: String?) : ReservationEvent
}
