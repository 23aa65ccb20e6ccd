package org.gypsumroute.gateway

import org.gypsumroute.api.ReservationEffect

/** Reserves memory at engines. An adapter implements it for its platform. */
interface ReservationClient : AutoCloseable {
    /** Starts a call and returns immediately; the call emits exactly one event when it ends. */
    fun execute(effect: ReservationEffect)
}
