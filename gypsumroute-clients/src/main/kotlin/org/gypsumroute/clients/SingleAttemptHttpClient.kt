/*
 * The HTTP client behind all clients of other services. It sends each request at most once, does
 * not follow redirects, and reports with a failure whether any byte of the request was written.
 */
package org.gypsumroute.clients

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import java.io.IOException
import java.io.InterruptedIOException
import java.net.Proxy
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.toJavaDuration
import kotlinx.coroutines.suspendCancellableCoroutine
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.ConnectionSpec
import okhttp3.Dispatcher
import okhttp3.EventListener
import okhttp3.Headers
import okhttp3.HttpUrl
import okhttp3.Interceptor
import okhttp3.MediaType
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.Response
import okio.Buffer
import okio.BufferedSink
import org.gypsumroute.api.HttpStatuses

/** A response with its complete body. */
class HttpResponse(val status: Int, val body: ByteArray, private val headers: Headers) {
    val text: String get() = body.decodeToString()
    val contentType: String? get() = header("Content-Type")

    /** The value of a header, the last one if there are several, or null if it is absent. */
    fun header(name: String): String? = headers[name]
}

/** Tag of a call that records how far the writing of its request came. */
internal class RequestProgress {
    @Volatile
    var writeStarted: Boolean = false

    /** Whether a part of the request could not be written. */
    @Volatile
    var writeFailed: Boolean = false
}

/**
 * Makes calls within [timeouts] and keeps up to [idleConnections] idle connections for reuse.
 *
 * OkHttp takes whatever a server wrote after a complete response for the response to the next call
 * on that connection. Connections are therefore reused only with servers that never write more than
 * was asked for, which does not hold for engines.
 */
class SingleAttemptHttpClient(timeouts: HttpTimeouts, idleConnections: Int = 0) {
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .fastFallback(false)
        .proxy(Proxy.NO_PROXY)
        .protocols(listOf(Protocol.HTTP_1_1))
        // Cleartext only: with TLS the client would load the trust store, which takes 0.2 s.
        .connectionSpecs(listOf(ConnectionSpec.CLEARTEXT))
        .connectTimeout(timeouts.connect.toJavaDuration())
        .readTimeout(timeouts.read.toJavaDuration())
        .writeTimeout(timeouts.write.toJavaDuration())
        .callTimeout((timeouts.call ?: Duration.ZERO).toJavaDuration())
        .connectionPool(ConnectionPool(idleConnections, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
        .dispatcher(
            Dispatcher().apply {
                maxRequests = MAX_OPEN_CALLS
                maxRequestsPerHost = MAX_OPEN_CALLS
            }
        )
        .addNetworkInterceptor(RetryAfterRemover)
        .eventListenerFactory { RequestProgressListener }
        .build()

    /**
     * Makes a call and reads its response; a body of more than [maxBytes] bytes is a failure.
     * [onProgress] is called when the response's head and parts of its body have arrived, on a
     * thread of the dispatcher.
     */
    suspend fun call(
        request: Request,
        maxBytes: Long,
        onProgress: () -> Unit = {}
    ): Either<ClientFailure, HttpResponse> = suspendCancellableCoroutine { continuation ->
        val call = start(request) { outcome ->
            val read = outcome.flatMap(::finalResponse).flatMap {
                onProgress()
                readBody(it, maxBytes, onProgress)
            }
            continuation.resume(read)
        }
        continuation.invokeOnCancellation { call.cancel() }
    }

    /** Closes the connections that no call uses, so that the next call opens one. */
    fun closeIdleConnections() = client.connectionPool.evictAll()

    /**
     * Starts a call. [onOutcome] is called once, on a thread of the dispatcher, and may read the
     * response's body there; the response is closed when [onOutcome] returns.
     */
    fun start(request: Request, onOutcome: (Either<ClientFailure, Response>) -> Unit): Call {
        val progress = RequestProgress()
        val tagged = request.newBuilder().tag(RequestProgress::class.java, progress).build()
        val call = client.newCall(tagged)
        call.enqueue(
            object : Callback {
                override fun onFailure(call: Call, e: IOException) =
                    onOutcome(failureOf(e, progress).left())

                override fun onResponse(call: Call, response: Response) =
                    response.use { onOutcome(it.right()) }
            }
        )
        return call
    }

    /** Cancels open calls, ends the threads and closes the idle connections. */
    fun close() {
        client.dispatcher.cancelAll()
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private fun failureOf(failure: IOException, progress: RequestProgress): ClientFailure {
        val cause = describe(failure)
        return if (progress.writeStarted) {
            ClientFailure.Broken(cause, timedOut = failure is InterruptedIOException)
        } else {
            ClientFailure.NotConnected(cause)
        }
    }

    private companion object {
        /** Limit of calls open at once, where a stream that waits for its engine counts as open. */
        const val MAX_OPEN_CALLS = 10_000
        const val KEEP_ALIVE_SECONDS = 10L
    }
}

/** Whether a response with this status is a success, which is any 2xx. */
internal fun isSuccessStatus(status: Int): Boolean = status in HttpStatuses.SUCCESS

/** This response if its status is one that HTTP knows for the answer to a request. */
private fun finalResponse(response: Response): Either<ClientFailure, Response> =
    if (response.code in HttpStatuses.FINAL) {
        response.right()
    } else {
        ClientFailure.Malformed("status ${response.code}").left()
    }

/** This response, or [ClientFailure.ErrorStatus] if its status is not a success. */
fun HttpResponse.errorStatusAsFailure(): Either<ClientFailure, HttpResponse> =
    if (isSuccessStatus(status)) right() else ClientFailure.ErrorStatus(status, text).left()

internal fun describe(failure: IOException): String =
    "${failure.javaClass.simpleName}: ${failure.message}"

/** A request body of [parts] in order, which OkHttp must not send twice. */
internal class OneShotBody(private val type: MediaType?, private val parts: List<ByteArray>) :
    RequestBody() {
    override fun contentType(): MediaType? = type

    override fun contentLength(): Long = parts.sumOf { it.size.toLong() }

    override fun isOneShot(): Boolean = true

    override fun writeTo(sink: BufferedSink) = parts.forEach { sink.write(it) }
}

/** Builder of the `http` URL with [path] at [address], which is a host and port. */
fun urlBuilderFor(address: String, path: String): HttpUrl.Builder {
    val port = address.substringAfterLast(':').toInt()
    return HttpUrl.Builder()
        .scheme("http")
        .host(address.substringBeforeLast(':').removeSurrounding("[", "]"))
        .port(port)
        .encodedPath(path)
}

private fun readBody(
    response: Response,
    limit: Long,
    onProgress: () -> Unit
): Either<ClientFailure, HttpResponse> = try {
    requireOrderlyEnd(response)
    val body = Buffer()
    val source = response.body.source()
    var nextReport = PROGRESS_BYTES
    while (body.size <= limit && source.read(body, limit + 1 - body.size) >= 0) {
        if (body.size >= nextReport) {
            onProgress()
            nextReport = body.size + PROGRESS_BYTES
        }
    }
    if (body.size > limit) {
        ClientFailure.Malformed("answer over $limit bytes").left()
    } else {
        HttpResponse(response.code, body.readByteArray(), response.headers).right()
    }
} catch (failure: IOException) {
    ClientFailure.Broken(describe(failure), answering = true).left()
}

/**
 * Throws if the response ends with its connection and its request could not be written. OkHttp goes
 * on to read the answer then, and the end of a connection that was reset looks like a close.
 */
private fun requireOrderlyEnd(response: Response) {
    val isFramed = response.body.contentLength() >= 0 ||
        response.header("Transfer-Encoding").equals("chunked", ignoreCase = true)
    val writeFailed = response.request.tag(RequestProgress::class.java)?.writeFailed == true
    if (writeFailed && !isFramed) throw IOException("connection lost before the request was read")
}

/** Removes `Retry-After`, because OkHttp repeats a call whose response is 503 with a value of 0. */
private object RetryAfterRemover : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response =
        chain.proceed(chain.request()).newBuilder().removeHeader("Retry-After").build()
}

private object RequestProgressListener : EventListener() {
    override fun requestHeadersStart(call: Call) {
        call.request().tag(RequestProgress::class.java)?.writeStarted = true
    }

    override fun requestFailed(call: Call, ioe: IOException) {
        call.request().tag(RequestProgress::class.java)?.writeFailed = true
    }
}

/** Progress is reported after each part of a body of this size. */
private const val PROGRESS_BYTES = 64L * 1024
