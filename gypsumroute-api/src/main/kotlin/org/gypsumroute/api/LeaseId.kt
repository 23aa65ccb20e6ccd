package org.gypsumroute.api

/** Identifies one lease on an endpoint; chosen by the entry, unique in the fleet. */
@JvmInline
value class LeaseId(val value: String) {
    override fun toString(): String = value
}
