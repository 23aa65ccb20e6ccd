package org.gypsumroute.api

import kotlin.time.Duration

/** Effects on memory that engines set aside. Each is answered by one `ReservationEvent`. */
sealed interface ReservationEffect : Effect {
    /**
     * Sets [tokens] aside at an engine for [hold]; with the id of a reservation that exists, begins
     * its time anew. An answer may be lost, and the order be carried out late.
     */
    data class Reserve(
        val reservation: ReservationId,
        val endpoint: EndpointId,
        val address: EndpointAddress,
        val tokens: Tokens,
        val hold: Duration
    ) : ReservationEffect

    /** Ends a reservation. */
    data class Release(
        val reservation: ReservationId,
        val endpoint: EndpointId,
        val address: EndpointAddress
    ) : ReservationEffect
}
