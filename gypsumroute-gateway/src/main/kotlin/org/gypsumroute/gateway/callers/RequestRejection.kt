/*
 * Why requests are refused while they are received, and which ones by their head.
 */
package org.gypsumroute.gateway.callers

import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import org.gypsumroute.api.CallerLimits
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.core.gateway.attempts.RETRY_AFTER

/** Why a request is refused before it is received completely. */
internal class RequestRejection(private val kind: ErrorKind, private val detail: String) {
    /** The failure that the caller is told of. */
    fun toFailure() = Failure(
        kind,
        detail,
        retryAfter = RETRY_AFTER.takeIf {
            kind == ErrorKind.OVERLOADED || kind == ErrorKind.DRAINING
        }
    )
}

/** Returns why the request is refused by its head, or null if its body may be read. */
internal fun rejectionOf(
    message: HttpRequest,
    limits: CallerLimits,
    bodyMemory: RequestMemoryBudget
): RequestRejection? {
    val length = HttpUtil.getContentLength(message, 0L)
    return when {
        length > limits.maxBodyBytes ->
            RequestRejection(ErrorKind.BODY_TOO_LARGE, "body of $length bytes")

        !bodyMemory.hasCapacity(length) ->
            RequestRejection(ErrorKind.OVERLOADED, "no room for a body of $length bytes")

        !isForwardable(message.uri()) ->
            RequestRejection(ErrorKind.MALFORMED_REQUEST, "request target")

        else -> null
    }
}

/** Returns why a request is refused that could not be decoded. */
internal fun rejectionOf(decodingError: Throwable): RequestRejection = when (decodingError) {
    is TooLongHttpHeaderException, is TooLongHttpLineException ->
        RequestRejection(ErrorKind.HEADERS_TOO_LARGE, "headers")

    else -> RequestRejection(ErrorKind.MALFORMED_REQUEST, "not HTTP/1.1")
}

/**
 * Whether the request target has printable ASCII characters only. Only such a target can be
 * forwarded byte for byte.
 */
private fun isForwardable(target: String): Boolean =
    target.isNotEmpty() && target.all { it in '!'..'~' }
