/*
 * Headers that concern one connection only and are never passed on.
 */
package org.gypsumroute.gateway

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** A copy without headers of the connection and those in [excluded] (lower case). */
internal fun forwardedHeaders(headers: HttpHeaders, excluded: Set<String> = emptySet()): HttpHeaders {
    val listedInConnection = headers.getAll(HttpHeaderNames.CONNECTION)
        .flatMap { it.split(',') }
        .map { it.trim().lowercase() }
    val forwarded = DefaultHttpHeadersFactory.headersFactory().newHeaders()
    for ((name, value) in headers.iteratorAsString()) {
        val key = name.lowercase()
        if (key !in connectionHeaders && key !in listedInConnection && key !in excluded) forwarded.add(name, value)
    }
    return forwarded
}

private val connectionHeaders = setOf(
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
