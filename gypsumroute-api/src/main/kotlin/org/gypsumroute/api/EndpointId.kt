package org.gypsumroute.api

/** Name under which an endpoint publishes itself. */
@JvmInline
value class EndpointId(val value: String) {
    override fun toString(): String = value
}
