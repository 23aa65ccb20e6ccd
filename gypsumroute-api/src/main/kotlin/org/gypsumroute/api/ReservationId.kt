package org.gypsumroute.api

/** Identifies a memory reservation at an endpoint; chosen by the gateway that asks for it. */
@JvmInline
value class ReservationId(val value: String) {
    override fun toString(): String = value
}
