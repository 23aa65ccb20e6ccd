/*
 * Hop-by-hop headers, which concern one connection only and are never forwarded.
 */
package org.gypsumroute.gateway.forwarding

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/**
 * Returns a copy without hop-by-hop headers, headers that `Connection` lists, and those whose
 * lower-case name is in [excluded].
 */
internal fun forwardedHeaders(
    headers: HttpHeaders,
    excluded: Set<String> = emptySet()
): HttpHeaders {
    val listed = headers.getAll(HttpHeaderNames.CONNECTION)
        .flatMap { it.split(',') }
        .mapTo(HashSet()) { it.trim().lowercase() }
    val result = DefaultHttpHeadersFactory.headersFactory().newHeaders()
    for ((name, value) in headers.iteratorAsString()) {
        val key = name.lowercase()
        if (key !in hopByHopHeaders && key !in listed && key !in excluded) result.add(name, value)
    }
    return result
}

/**
 * Lower-case names of hop-by-hop headers. The last two are here because the gateway sets the length
 * of what it forwards and answers `Expect` itself.
 */
private val hopByHopHeaders = setOf(
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect"
)

private fun HttpHeaders.iteratorAsString() = Iterable { iteratorAsString() }
