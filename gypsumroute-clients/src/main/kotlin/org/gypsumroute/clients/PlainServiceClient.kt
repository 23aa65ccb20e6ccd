package org.gypsumroute.clients

import arrow.core.Either
import kotlin.time.Duration.Companion.minutes
import okhttp3.MediaType.Companion.toMediaTypeOrNull
import okhttp3.Request

/**
 * Client of the plain service at [address] (host and port).
 *
 * Every call opens a new connection. On a reused connection that the service has closed in the
 * meantime, an action would fail with an unknown outcome although the service works. The service
 * may be silent for as long as the call's lease lasts; the agent cancels the call with the lease.
 */
class PlainServiceClient(
    private val address: String,
    timeouts: HttpTimeouts = HttpTimeouts(read = MAX_SILENCE, call = null),
    private val maxResponseBytes: Long = DEFAULT_MAX_RESPONSE_BYTES
) : AutoCloseable {
    private val httpClient = SingleAttemptHttpClient(timeouts)

    /**
     * Posts [body] to [path] at most once. A response with any status counts as a successful call;
     * a response over the size limit is [ClientFailure.Malformed].
     */
    suspend fun call(
        path: String,
        body: List<ByteArray>,
        contentType: String = "application/json"
    ): Either<ClientFailure, PlainServiceResponse> {
        val request = Request.Builder()
            .url(urlBuilderFor(address, if (path.startsWith('/')) path else "/$path").build())
            .header("Connection", "close")
            .post(OneShotBody(contentType.toMediaTypeOrNull(), body))
            .build()
        return httpClient.call(request, maxResponseBytes)
            .map { PlainServiceResponse(it.status, it.contentType, it.body) }
    }

    override fun close() = httpClient.close()

    private companion object {
        /** Ends calls to a service that is silent for good; longer than any lease. */
        val MAX_SILENCE = 10.minutes
        const val DEFAULT_MAX_RESPONSE_BYTES = 16L * 1024 * 1024
    }
}
