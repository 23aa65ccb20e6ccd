package org.gypsumroute.api

/** Address and port of an endpoint or a gateway; an address may be reused by a later endpoint. */
data class EndpointAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}
