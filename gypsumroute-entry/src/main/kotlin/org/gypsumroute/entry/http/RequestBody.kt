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
import org.gypsumroute.api.ErrorKind

/** Reads the whole body, within [limit] bytes and within [time]. */
internal suspend fun readBody(
    call: ApplicationCall,
    limit: Long,
    time: Duration
): Either<ErrorKind, ByteArray> {
    val declared = call.request.contentLength()
    if (declared != null && declared > limit) return ErrorKind.BODY_TOO_LARGE.left()
    val bytes = withTimeoutOrNull(time) {
        try {
            call.receiveChannel().readRemaining(limit + 1).readByteArray()
        } catch (cut: IOException) {
            null
        }
    }
    return when {
        bytes == null -> ErrorKind.BODY_INCOMPLETE.left()
        bytes.size > limit -> ErrorKind.BODY_TOO_LARGE.left()
        declared != null && bytes.size < declared -> ErrorKind.BODY_INCOMPLETE.left()
        else -> bytes.right()
    }
}
