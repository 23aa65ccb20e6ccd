package org.gypsumroute.api

/** Published name of one incarnation of an endpoint. */
@JvmInline
value class EndpointId(val value: String) {
    override fun toString(): String = value
}
