/*
 * What tells a stream of events from other answers, and its next events from those that came.
 */
package org.gypsumroute.gateway.endpoints

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpUtil

/** Whether a response may be a stream of events; one that states no type may be. */
internal fun mayBeEventStream(headers: HttpHeaders): Boolean =
    HttpUtil.getMimeType(headers[HttpHeaderNames.CONTENT_TYPE] ?: EVENT_STREAM)
        ?.toString()?.trim().equals(EVENT_STREAM, ignoreCase = true)

/**
 * Whether an event with the id [next] may come after the one with [previous]. Ids that are numbers
 * increase; of others, only the same one is known to be no later.
 */
internal fun mayFollow(next: String?, previous: String?): Boolean {
    if (next == null || previous == null) return true
    val nextNumber = next.toLongOrNull()
    val previousNumber = previous.toLongOrNull()
    return if (nextNumber != null && previousNumber != null) {
        nextNumber > previousNumber
    } else {
        next != previous
    }
}

private const val EVENT_STREAM = "text/event-stream"
