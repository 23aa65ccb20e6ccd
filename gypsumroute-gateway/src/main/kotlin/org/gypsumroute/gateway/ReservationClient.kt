package org.gypsumroute.gateway

import org.gypsumroute.api.ReservationEffect

/** Orders engines to set memory aside; an adapter implements it for its platform. */
interface ReservationClient : AutoCloseable {
    /** Starts an order and returns at once; its outcome becomes one event. */
    fun execute(effect: ReservationEffect)
}
