package org.gypsumroute.api

import kotlin.time.Duration

/**
 * Orders about reserved memory of engines. Each is answered by one `ReservationEvent`. `startedAt`
 * names the start of the engine that is meant, as in [ForwardTarget].
 */
sealed interface ReservationEffect : Effect {
    /**
     * Reserves memory for [tokens] at an engine for the time [hold]. If the reservation exists
     * already, it is renewed for that time. The answer may be lost, or the engine may execute the
     * order late.
     */
    data class Reserve(
        val reservation: ReservationId,
        val endpoint: EndpointId,
        val address: EndpointAddress,
        val startedAt: UnixTime?,
        val tokens: Tokens,
        val hold: Duration
    ) : ReservationEffect

    /** Ends a reservation. */
    data class Release(
        val reservation: ReservationId,
        val endpoint: EndpointId,
        val address: EndpointAddress,
        val startedAt: UnixTime?
    ) : ReservationEffect
}
