package org.gypsumroute.entry.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import java.io.IOException
import kotlin.time.Duration
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.entry.Exchange
import org.gypsumroute.runtime.EventSink

/**
 * Announces a request to the reducer and receives its body once that is accepted. Returns null if
 * the caller was answered with a failure instead.
 */
internal suspend fun receiveBody(
    call: ApplicationCall,
    exchange: Exchange,
    headers: CallerHeaders,
    settings: CallersHttpSettings,
    events: EventSink
): ByteArray? {
    events(CallerEvent.Opened(exchange.request, headers.keyDigest, headers.declaredBytes))
    val accepted = exchange.bodyAccepted.await()
    if (accepted is Either.Left) {
        respondFailure(call, exchange, accepted.value)
        return null
    }
    val timeout = headers.timeout ?: settings.defaultUploadTimeout
    val body = readBody(call, settings.maxBodyBytes, timeout)
    body.onLeft { rejectRequest(call, exchange, events, it, bodyErrorDetail(settings)) }
    return body.getOrNull()
}

/** Reads the body; fails if it is longer than [maxBytes] or not complete within [timeout]. */
private suspend fun readBody(
    call: ApplicationCall,
    maxBytes: Long,
    timeout: Duration
): Either<ErrorKind, ByteArray> {
    val declaredBytes = call.request.contentLength()
    if (declaredBytes != null && declaredBytes > maxBytes) return ErrorKind.BODY_TOO_LARGE.left()
    val bytes = withTimeoutOrNull(timeout) {
        try {
            call.receiveChannel().readRemaining(maxBytes + 1).readByteArray()
        } catch (closed: IOException) {
            null
        }
    }
    return when {
        bytes == null -> ErrorKind.BODY_INCOMPLETE.left()
        bytes.size > maxBytes -> ErrorKind.BODY_TOO_LARGE.left()
        declaredBytes != null && bytes.size < declaredBytes -> ErrorKind.BODY_INCOMPLETE.left()
        else -> bytes.right()
    }
}
