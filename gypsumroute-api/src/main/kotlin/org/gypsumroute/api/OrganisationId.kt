package org.gypsumroute.api

/** Name of a caller's organisation as the service document lists it. */
@JvmInline
value class OrganisationId(val value: String) {
    override fun toString(): String = value
}
