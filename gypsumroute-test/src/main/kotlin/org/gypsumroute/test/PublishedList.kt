/*
 * A list that is read by long poll: each change raises a sequence number.
 */
package org.gypsumroute.test

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respond
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/** Waits until [accept] holds for the value; null once the poll's time is over. */
internal suspend fun <T> StateFlow<T>.poll(call: ApplicationCall, accept: (T) -> Boolean): T? {
    val asked = call.request.queryParameters["wait"]?.toIntOrNull() ?: LONGEST_POLL_SECONDS
    val wait = asked.coerceIn(0, LONGEST_POLL_SECONDS)
    if (accept(value)) return value
    return withTimeoutOrNull(wait.seconds) { first(accept) }
}

internal suspend fun respondNothingNew(call: ApplicationCall) =
    call.respond(HttpStatusCode.NoContent)

internal fun sequenceAfter(call: ApplicationCall): Long =
    call.request.queryParameters["after"]?.toLongOrNull() ?: 0

private const val LONGEST_POLL_SECONDS = 30
