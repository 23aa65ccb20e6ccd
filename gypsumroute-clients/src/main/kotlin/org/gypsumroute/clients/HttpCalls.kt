/*
 * The one way in which all clients make HTTP calls: each call is sent at most once, redirects are
 * not followed, and a failure tells whether any byte of the request was written.
 */
package org.gypsumroute.clients

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.io.IOException
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

/** An answer read to its end. */
class HttpAnswer(val status: Int, val contentType: String?, val body: ByteArray) {
    val text: String get() = body.decodeToString()
}

/** Notes in a call's tag whether its request began to be written. */
internal class CallTrace {
    @Volatile
    var started: Boolean = false
}

/** Makes calls within [timeouts] and keeps up to [idleConnections] open between them. */
class HttpCalls(timeouts: HttpTimeouts, idleConnections: Int = IDLE_CONNECTIONS) {
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .fastFallback(false)
        .proxy(Proxy.NO_PROXY)
        .protocols(listOf(Protocol.HTTP_1_1))
        // Without TLS among them, the client does not load the trust store, which takes 0.2 s.
        .connectionSpecs(listOf(ConnectionSpec.CLEARTEXT))
        .connectTimeout(timeouts.connect.toJavaDuration())
        .readTimeout(timeouts.read.toJavaDuration())
        .writeTimeout(timeouts.write.toJavaDuration())
        .callTimeout((timeouts.whole ?: Duration.ZERO).toJavaDuration())
        .connectionPool(ConnectionPool(idleConnections, IDLE_SECONDS, TimeUnit.SECONDS))
        .dispatcher(
            Dispatcher().apply {
                maxRequests = OPEN_CALLS
                maxRequestsPerHost = OPEN_CALLS
            }
        )
        .addNetworkInterceptor(WithoutRetryAfter)
        .eventListenerFactory { TraceListener }
        .build()

    /** Makes a call and reads its answer, at most [limit] bytes of it. */
    suspend fun call(request: Request, limit: Long): Either<ClientFailure, HttpAnswer> =
        suspendCancellableCoroutine { continuation ->
            val call = start(request) { outcome ->
                continuation.resume(outcome.fold({ it.left() }, { readAnswer(it, limit) }))
            }
            continuation.invokeOnCancellation { call.cancel() }
        }

    /**
     * Starts a call. [handle] gets the outcome once, on a thread of the dispatcher, and may read
     * the response's body there; the response is closed when it returns.
     */
    fun start(request: Request, handle: (Either<ClientFailure, Response>) -> Unit): Call {
        val trace = CallTrace()
        val call = client.newCall(request.newBuilder().tag(CallTrace::class.java, trace).build())
        call.enqueue(
            object : Callback {
                override fun onFailure(call: Call, e: IOException) =
                    handle(failureOf(e, trace).left())

                override fun onResponse(call: Call, response: Response) =
                    response.use { handle(it.right()) }
            }
        )
        return call
    }

    /** Ends the threads and idle connections. */
    fun close() {
        client.dispatcher.cancelAll()
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private fun failureOf(failure: IOException, trace: CallTrace): ClientFailure {
        val cause = describe(failure)
        return if (trace.started) {
            ClientFailure.Broken(cause)
        } else {
            ClientFailure.NotConnected(cause)
        }
    }

    private companion object {
        /** Calls open at once; a stream that waits for its engine is an open call. */
        const val OPEN_CALLS = 10_000
        const val IDLE_CONNECTIONS = 8
        const val IDLE_SECONDS = 10L
    }
}

/** Whether a status means success. */
internal fun isSuccess(status: Int): Boolean = status in SUCCESS

/** The answer, or the failure that its status stands for. */
fun HttpAnswer.orRefused(): Either<ClientFailure, HttpAnswer> =
    if (isSuccess(status)) right() else ClientFailure.Refused(status, text).left()

internal fun describe(failure: IOException): String =
    "${failure.javaClass.simpleName}: ${failure.message}"

/** A request's body that OkHttp must not send twice. */
internal class OneShotBody(private val type: MediaType?, private val parts: List<ByteArray>) :
    RequestBody() {
    override fun contentType(): MediaType? = type

    override fun contentLength(): Long = parts.sumOf { it.size.toLong() }

    override fun isOneShot(): Boolean = true

    override fun writeTo(sink: BufferedSink) = parts.forEach { sink.write(it) }
}

/** The URL of [path] at [address], which is a host and port. */
fun urlOf(address: String, path: String): HttpUrl.Builder {
    val port = address.substringAfterLast(':').toInt()
    return HttpUrl.Builder()
        .scheme("http")
        .host(address.substringBeforeLast(':').removeSurrounding("[", "]"))
        .port(port)
        .encodedPath(path)
}

private fun readAnswer(response: Response, limit: Long): Either<ClientFailure, HttpAnswer> = try {
    val body = Buffer()
    val source = response.body.source()
    while (body.size <= limit && source.read(body, limit + 1 - body.size) >= 0) {
        // Reads on until the body's end or the limit.
    }
    if (body.size > limit) {
        ClientFailure.Malformed("answer over $limit bytes").left()
    } else {
        HttpAnswer(response.code, response.header("Content-Type"), body.readByteArray()).right()
    }
} catch (failure: IOException) {
    ClientFailure.Broken(describe(failure)).left()
}

/** OkHttp repeats a call that was answered with 503 and `Retry-After: 0`; this prevents it. */
private object WithoutRetryAfter : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response =
        chain.proceed(chain.request()).newBuilder().removeHeader("Retry-After").build()
}

private object TraceListener : EventListener() {
    override fun requestHeadersStart(call: Call) {
        call.request().tag(CallTrace::class.java)?.started = true
    }
}

private val SUCCESS = 200..299
