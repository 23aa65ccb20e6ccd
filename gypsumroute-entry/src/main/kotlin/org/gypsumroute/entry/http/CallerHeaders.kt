package org.gypsumroute.entry.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.header
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.process.keyDigest

/**
 * The headers that every route reads. [keyDigest] is empty if the caller sent no bearer key, and
 * [declaredBytes] is 0 if the caller did not state the length of the body.
 */
internal class CallerHeaders(
    val keyDigest: String,
    val timeout: Duration?,
    val declaredBytes: Bytes,
    val actionKey: ActionKey?
)

/** Reads the headers; the left side is the kind of error if one of them is invalid. */
internal fun readCallerHeaders(call: ApplicationCall): Either<ErrorKind, CallerHeaders> {
    val timeout = call.request.header(TIMEOUT_HEADER)?.let { text ->
        parseTimeout(text) ?: return ErrorKind.DEADLINE_INVALID.left()
    }
    return CallerHeaders(
        keyDigest = bearerKey(call)?.let(::keyDigest).orEmpty(),
        timeout = timeout,
        declaredBytes = Bytes(call.request.contentLength() ?: 0),
        actionKey = call.request.header(ACTION_KEY_HEADER)?.let { ActionKey(it) }
    ).right()
}

/** Whether a caller's request id can be used in headers, logs and messages without escaping. */
internal fun isValidRequestId(id: String): Boolean =
    id.length in 1..MAX_REQUEST_ID_CHARACTERS && id.all { it in '!'..'~' && it != '"' }

/**
 * Number of characters in all header names and values. It is checked here because the HTTP server
 * limits only the single line, to 8 KiB.
 */
internal fun totalHeaderLength(call: ApplicationCall): Int =
    call.request.headers.entries().sumOf { (name, values) ->
        values.sumOf { name.length + it.length }
    }

private fun bearerKey(call: ApplicationCall): String? {
    val header = call.request.header(HttpHeaders.Authorization) ?: return null
    return header.substringAfter(' ').trim()
        .takeIf { header.startsWith("Bearer ", ignoreCase = true) && it.isNotEmpty() }
}

private fun parseTimeout(text: String): Duration? = text.trim().toDoubleOrNull()
    ?.takeIf { it.isFinite() && it > 0 && it <= MAX_TIMEOUT.inWholeSeconds }
    ?.seconds

internal const val TIMEOUT_HEADER = "X-Request-Timeout"
internal const val ACTION_KEY_HEADER = "Idempotency-Key"
internal const val REQUEST_ID_HEADER = "X-Request-Id"

/** Limit of all header names and values of a request together, in characters. */
internal const val MAX_HEADER_CHARACTERS = 32 * 1024
private const val MAX_REQUEST_ID_CHARACTERS = 128

// Keeps the arithmetic of deadlines safe, for example from infinite durations. The actual limits
// are set in the service documents.
private val MAX_TIMEOUT = 7.days
