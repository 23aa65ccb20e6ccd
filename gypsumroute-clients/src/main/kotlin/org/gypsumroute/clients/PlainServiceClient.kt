package org.gypsumroute.clients

import arrow.core.Either
import okhttp3.MediaType.Companion.toMediaTypeOrNull
import okhttp3.Request

/**
 * Client of the plain service at [address] (host and port).
 *
 * Every call opens a connection of its own: on a kept connection that the service has closed
 * meanwhile, an action would fail with an unknown outcome although nothing was wrong.
 */
class PlainServiceClient(
    private val address: String,
    timeouts: HttpTimeouts = HttpTimeouts(whole = null),
    private val answerLimit: Long = DEFAULT_ANSWER_LIMIT
) : AutoCloseable {
    private val calls = HttpCalls(timeouts, idleConnections = 0)

    /** Posts [body], sent once at most; an answer of any status is a success of the call. */
    suspend fun call(
        path: String,
        body: List<ByteArray>,
        contentType: String = "application/json"
    ): Either<ClientFailure, PlainServiceAnswer> {
        val request = Request.Builder()
            .url(urlOf(address, if (path.startsWith('/')) path else "/$path").build())
            .header("Connection", "close")
            .post(OneShotBody(contentType.toMediaTypeOrNull(), body))
            .build()
        return calls.call(request, answerLimit)
            .map { PlainServiceAnswer(it.status, it.contentType, it.body) }
    }

    override fun close() = calls.close()

    private companion object {
        const val DEFAULT_ANSWER_LIMIT = 16L * 1024 * 1024
    }
}
