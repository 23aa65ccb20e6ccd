/*
 * The callers' HTTP port on Ktor.
 *
 * Only this package knows HTTP and JSON: it turns requests into caller events, waits on the
 * exchange, and writes what the exchange yields. Another front end needs the same three steps.
 */
package org.gypsumroute.entry.http

import arrow.core.Either
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.header
import io.ktor.server.response.header
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ServiceId
import org.gypsumroute.entry.Exchange
import org.gypsumroute.entry.Exchanges
import org.gypsumroute.runtime.EventSink

/** Serves callers. [newRequestId] names requests that came without an id of their own. */
internal class CallersHttp(
    private val settings: CallersHttpSettings,
    private val exchanges: Exchanges,
    private val events: EventSink,
    private val newRequestId: () -> RequestId,
    private val services: () -> Collection<ServiceId>
) {
    private val open = AtomicInteger()

    private val server: EmbeddedServer<*, *> = embeddedServer(
        CIO,
        configure = {
            connector {
                host = settings.address
                port = settings.port
            }
            reuseAddress = true
            connectionIdleTimeoutSeconds = IDLE_SECONDS
        }
    ) {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing {
            get("/v1/models") { respondModels(call) }
            post("/v1/completions") {
                serve(call) { exchange, headers -> completions.serve(call, exchange, headers) }
            }
            post("/v1/services/{service}/action-keys") {
                serve(call) { exchange, headers -> calls.serveKey(call, exchange, headers) }
            }
            post("/v1/services/{service}/calls/{path...}") {
                serve(call) { exchange, headers -> calls.serve(call, exchange, headers) }
            }
        }
    }
    private val completions = CompletionRoute(settings, events)
    private val calls = CallRoutes(settings, events)

    /** Starts listening and returns the port in use. */
    suspend fun start(): Int {
        server.start(wait = false)
        return server.engine.resolvedConnectors().first().port
    }

    fun stop() = server.stop(STOP_MILLISECONDS, STOP_MILLISECONDS)

    private suspend fun serve(
        call: ApplicationCall,
        work: suspend (Exchange, CallerHeaders) -> Unit
    ) = if (closesConnection(call)) {
        withContext(NonCancellable) { serveUnlessRefused(call, work) }
    } else {
        serveUnlessRefused(call, work)
    }

    private suspend fun serveUnlessRefused(
        call: ApplicationCall,
        work: suspend (Exchange, CallerHeaders) -> Unit
    ) {
        val given = call.request.header(REQUEST_ID_HEADER)
        val request = given?.takeIf(::isUsableRequestId)?.let(::RequestId) ?: newRequestId()
        call.response.header(REQUEST_ID_HEADER, request.value)
        val refusal = when {
            given != null && given != request.value ->
                Failure(
                    ErrorKind.MALFORMED_REQUEST,
                    "$REQUEST_ID_HEADER: 1 to 128 characters, no space"
                )

            headerSize(call) > LARGEST_HEADERS ->
                Failure(ErrorKind.MALFORMED_REQUEST, "headers exceed $LARGEST_HEADERS bytes")

            open.get() >= settings.openRequests ->
                Failure(ErrorKind.OVERLOADED, "this entry holds ${settings.openRequests} requests")

            else -> null
        }
        val exchange = if (refusal == null) exchanges.open(request) else null
        if (exchange == null) {
            val failure = refusal
                ?: Failure(ErrorKind.REQUEST_DUPLICATE, "a request with this id is in progress")
            respondError(call, failure, request)
            return
        }
        open.incrementAndGet()
        try {
            serveOpened(call, exchange, work)
        } finally {
            open.decrementAndGet()
        }
    }

    /**
     * Whether the caller asked for the connection's close after this answer. The server then stops
     * reading and may take that for the caller's leaving, which would cancel the answer.
     */
    private fun closesConnection(call: ApplicationCall): Boolean =
        call.request.header(HttpHeaders.Connection).equals("close", ignoreCase = true)

    private suspend fun serveOpened(
        call: ApplicationCall,
        exchange: Exchange,
        work: suspend (Exchange, CallerHeaders) -> Unit
    ) {
        val request = exchange.request
        exchange.writer = currentCoroutineContext().job
        var left = true
        try {
            when (val headers = readHeaders(call)) {
                is Either.Left -> {
                    events(CallerEvent.Opened(request, "", NO_BYTES))
                    reject(
                        call,
                        exchange,
                        events,
                        headers.value,
                        "$TIMEOUT_HEADER: seconds, above 0"
                    )
                }

                is Either.Right -> work(exchange, headers.value)
            }
            left = false
            events(CallerEvent.AnswerTaken(request))
        } finally {
            // Any exception means that the answer did not reach the caller.
            if (left) events(CallerEvent.Left(request))
            exchanges.close(exchange)
        }
    }

    private suspend fun respondModels(call: ApplicationCall) {
        val content = buildJsonObject {
            put("object", "list")
            putJsonArray("data") {
                for (service in services()) {
                    addJsonObject {
                        put("id", service.value)
                        put("object", "model")
                    }
                }
            }
        }
        call.response.header(HttpHeaders.CacheControl, "no-store")
        respondJson(call, content)
    }

    private companion object {
        const val IDLE_SECONDS = 45
        const val STOP_MILLISECONDS = 200L
        val NO_BYTES = Bytes.ZERO
    }
}
