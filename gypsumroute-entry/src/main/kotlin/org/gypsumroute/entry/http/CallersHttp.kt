/*
 * The HTTP port for callers, on Ktor.
 *
 * Only this package handles HTTP and JSON: it turns requests into caller events, waits for the
 * outcome of the exchange, and writes that to the caller. Another front end needs the same three
 * steps.
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

/**
 * Serves callers. [newRequestId] creates the id of a request that arrived without one, and
 * [listServices] gives the services that callers can use.
 */
internal class CallersHttp(
    private val settings: CallersHttpSettings,
    private val exchanges: Exchanges,
    private val events: EventSink,
    private val newRequestId: () -> RequestId,
    private val listServices: () -> Collection<ServiceId>
) {
    private val openRequests = AtomicInteger()

    private val server: EmbeddedServer<*, *> = embeddedServer(
        CIO,
        configure = {
            connector {
                host = settings.address
                port = settings.port
            }
            reuseAddress = true
            connectionIdleTimeoutSeconds = IDLE_TIMEOUT_SECONDS
        }
    ) {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing {
            get("/v1/models") { respondModels(call) }
            post("/v1/completions") {
                serve(call) { exchange, headers -> completionRoute.serve(call, exchange, headers) }
            }
            post("/v1/services/{service}/action-keys") {
                serve(call) { exchange, headers ->
                    callRoutes.serveActionKey(call, exchange, headers)
                }
            }
            post("/v1/services/{service}/calls/{path...}") {
                serve(call) { exchange, headers -> callRoutes.serveCall(call, exchange, headers) }
            }
        }
    }
    private val completionRoute = CompletionRoute(settings, events)
    private val callRoutes = CallRoutes(settings, events)

    /** Starts listening and returns the port in use. */
    suspend fun start(): Int {
        server.start(wait = false)
        return server.engine.resolvedConnectors().first().port
    }

    fun stop() = server.stop(STOP_TIMEOUT_MILLISECONDS, STOP_TIMEOUT_MILLISECONDS)

    private suspend fun serve(
        call: ApplicationCall,
        handler: suspend (Exchange, CallerHeaders) -> Unit
    ) = if (requestsConnectionClose(call)) {
        withContext(NonCancellable) { serveUnlessRefused(call, handler) }
    } else {
        serveUnlessRefused(call, handler)
    }

    /** Counts the request before the limit is checked, so that no two take the last place. */
    private suspend fun serveUnlessRefused(
        call: ApplicationCall,
        handler: suspend (Exchange, CallerHeaders) -> Unit
    ) {
        OpenRequestPlace(openRequests).use { serveCounted(call, it, handler) }
    }

    private suspend fun serveCounted(
        call: ApplicationCall,
        place: OpenRequestPlace,
        handler: suspend (Exchange, CallerHeaders) -> Unit
    ) {
        val callerRequestId = call.request.header(REQUEST_ID_HEADER)
        val request =
            callerRequestId?.takeIf(::isValidRequestId)?.let(::RequestId) ?: newRequestId()
        call.response.header(REQUEST_ID_HEADER, request.value)
        val refusal = when {
            callerRequestId != null && callerRequestId != request.value ->
                Failure(
                    ErrorKind.MALFORMED_REQUEST,
                    "$REQUEST_ID_HEADER: 1 to 128 characters, no space"
                )

            totalHeaderLength(call) > MAX_HEADER_CHARACTERS ->
                Failure(ErrorKind.HEADERS_TOO_LARGE, "headers exceed $MAX_HEADER_CHARACTERS bytes")

            openRequests.get() > settings.maxOpenRequests ->
                Failure(
                    ErrorKind.OVERLOADED,
                    "this entry holds ${settings.maxOpenRequests} requests"
                )

            else -> null
        }
        val exchange = if (refusal == null) exchanges.open(request) else null
        if (exchange == null) {
            val failure = refusal
                ?: Failure(ErrorKind.REQUEST_DUPLICATE, "a request with this id is in progress")
            respondError(call, failure, request)
            return
        }
        serveExchange(call, exchange, place, handler)
    }

    /**
     * Whether the caller asked to close the connection after this response. The server then stops
     * reading from the connection and may treat that as a disconnect of the caller, which would
     * cancel the response.
     */
    private fun requestsConnectionClose(call: ApplicationCall): Boolean =
        call.request.header(HttpHeaders.Connection).equals("close", ignoreCase = true)

    private suspend fun serveExchange(
        call: ApplicationCall,
        exchange: Exchange,
        place: OpenRequestPlace,
        handler: suspend (Exchange, CallerHeaders) -> Unit
    ) {
        val request = exchange.request
        exchange.writer = currentCoroutineContext().job
        // Any exception means that the response did not reach the caller.
        var end: CallerEvent = CallerEvent.Left(request)
        try {
            when (val headers = readCallerHeaders(call)) {
                is Either.Left -> {
                    events(CallerEvent.Opened(request, "", NO_BYTES))
                    rejectRequest(
                        call,
                        exchange,
                        events,
                        headers.value,
                        "$TIMEOUT_HEADER: seconds, above 0"
                    )
                }

                is Either.Right -> handler(exchange, headers.value)
            }
            end = CallerEvent.AnswerTaken(request)
        } finally {
            // Once the end of a request is reported, another one may take its place.
            place.close()
            exchange.close(end)
        }
    }

    private suspend fun respondModels(call: ApplicationCall) {
        val content = buildJsonObject {
            put("object", "list")
            putJsonArray("data") {
                for (service in listServices()) {
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
        const val IDLE_TIMEOUT_SECONDS = 45
        const val STOP_TIMEOUT_MILLISECONDS = 200L
        val NO_BYTES = Bytes.ZERO
    }
}
