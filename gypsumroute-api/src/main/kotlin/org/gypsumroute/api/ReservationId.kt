package org.gypsumroute.api

/** Identifies a memory reservation at an endpoint. The gateway that asks for it chooses it. */
@JvmInline
value class ReservationId(val value: String) {
    override fun toString(): String = value
}
