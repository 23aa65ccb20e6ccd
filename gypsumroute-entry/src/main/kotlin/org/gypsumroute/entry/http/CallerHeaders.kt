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

/** The headers that every route reads. [keyDigest] is empty if the caller sent no bearer key. */
internal class CallerHeaders(
    val keyDigest: String,
    val timeout: Duration?,
    val declaredBytes: Bytes,
    val actionKey: ActionKey?
)

/** Reads the headers, or says which kind of error they are. */
internal fun readHeaders(call: ApplicationCall): Either<ErrorKind, CallerHeaders> {
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

/** Whether a caller's request id can be used in headers, logs and messages as it is. */
internal fun isUsableRequestId(id: String): Boolean =
    id.length in 1..LONGEST_REQUEST_ID && id.all { it in '!'..'~' && it != '"' }

/** Characters of all header names and values; the server limits only each line, to 8 KiB. */
internal fun headerSize(call: ApplicationCall): Int =
    call.request.headers.entries().sumOf { (name, values) ->
        values.sumOf { name.length + it.length }
    }

private fun bearerKey(call: ApplicationCall): String? {
    val header = call.request.header(HttpHeaders.Authorization) ?: return null
    return header.substringAfter(' ').trim()
        .takeIf { header.startsWith("Bearer ", ignoreCase = true) && it.isNotEmpty() }
}

private fun parseTimeout(text: String): Duration? = text.trim().toDoubleOrNull()
    ?.takeIf { it.isFinite() && it > 0 && it <= LONGEST_TIMEOUT.inWholeSeconds }
    ?.seconds

internal const val TIMEOUT_HEADER = "X-Request-Timeout"
internal const val ACTION_KEY_HEADER = "Idempotency-Key"
internal const val REQUEST_ID_HEADER = "X-Request-Id"

/** Largest headers of a request, all together. */
internal const val LARGEST_HEADERS = 32 * 1024
private const val LONGEST_REQUEST_ID = 128

// A bound that keeps the arithmetic of deadlines safe; documents set the real limit.
private val LONGEST_TIMEOUT = 7.days
