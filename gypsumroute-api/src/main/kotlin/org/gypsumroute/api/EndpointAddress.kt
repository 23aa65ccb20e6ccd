package org.gypsumroute.api

/**
 * Network address and port of an endpoint or a gateway. A later endpoint may get the same address,
 * so an address doesn't identify an endpoint.
 */
data class EndpointAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}
