/*
 * Headers that concern one connection only and are never passed on.
 */
package org.gypsumroute.gateway

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** A copy without headers of the connection and those in [withheld] (lower case). */
internal fun passedOn(headers: HttpHeaders, withheld: Set<String> = emptySet()): HttpHeaders {
    val named = headers.getAll(HttpHeaderNames.CONNECTION)
        .flatMap { it.split(',') }
        .map { it.trim().lowercase() }
    val copy = DefaultHttpHeadersFactory.headersFactory().newHeaders()
    for ((name, value) in headers.iteratorAsString()) {
        val key = name.lowercase()
        if (key !in connectionHeaders && key !in named && key !in withheld) copy.add(name, value)
    }
    return copy
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
