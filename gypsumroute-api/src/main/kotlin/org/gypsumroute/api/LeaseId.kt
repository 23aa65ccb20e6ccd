package org.gypsumroute.api

/** Identifies one lease on an endpoint. The entry chooses it so that it is unique in the fleet. */
@JvmInline
value class LeaseId(val value: String) {
    override fun toString(): String = value
}
