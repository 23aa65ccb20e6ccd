/*
 * How long an idle connection is kept, by what the endpoint's last response said.
 */
package org.gypsumroute.gateway.endpoints

import io.netty.handler.codec.http.HttpResponse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A part of the keep-alive timeout that a response states, so that the gateway closes first. */
internal fun keepAliveTimeOf(response: HttpResponse): Duration {
    val seconds = response.headers()[KEEP_ALIVE_HEADER]?.substringAfter("timeout=", "")
        ?.takeWhile { it.isDigit() }?.toLongOrNull() ?: return DEFAULT_KEEP_ALIVE
    return seconds.seconds * KEEP_ALIVE_FRACTION
}

/** Time to keep an idle connection if the endpoint sends no keep-alive timeout. */
internal val DEFAULT_KEEP_ALIVE = 4.seconds
private const val KEEP_ALIVE_HEADER = "Keep-Alive"
private const val KEEP_ALIVE_FRACTION = 0.7
