package org.gypsumroute.api

/** Name of a caller's organisation, as service documents and routing tables list it. */
@JvmInline
value class OrganisationId(val value: String) {
    override fun toString(): String = value
}
