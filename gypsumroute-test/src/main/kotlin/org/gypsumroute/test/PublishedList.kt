/*
 * Long polling of a published list, in which each change increases a sequence number.
 */
package org.gypsumroute.test

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respond
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Waits until [accept] holds for the value and returns it; null after the call's `wait` seconds,
 * at most [MAX_POLL_SECONDS].
 */
internal suspend fun <T> StateFlow<T>.longPoll(call: ApplicationCall, accept: (T) -> Boolean): T? {
    val requestedSeconds = call.request.queryParameters["wait"]?.toIntOrNull() ?: MAX_POLL_SECONDS
    val wait = requestedSeconds.coerceIn(0, MAX_POLL_SECONDS)
    if (accept(value)) return value
    return withTimeoutOrNull(wait.seconds) { first(accept) }
}

internal suspend fun respondNoContent(call: ApplicationCall) =
    call.respond(HttpStatusCode.NoContent)

internal fun sequenceAfter(call: ApplicationCall): Long =
    call.request.queryParameters["after"]?.toLongOrNull() ?: 0

private const val MAX_POLL_SECONDS = 30
