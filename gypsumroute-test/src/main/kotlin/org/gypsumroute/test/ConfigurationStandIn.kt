/*
 * Stand-in of the configuration service: serves documents to read and to watch, limits the call
 * rate, and has test controls to publish, to be unavailable or hang, and to serve older documents.
 */
package org.gypsumroute.test

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.update
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** Stand-in of the configuration service with a limit of [callsPerSecond]. */
class ConfigurationStandIn(
    documents: Map<String, ByteArray> = emptyMap(),
    port: Int = 0,
    callsPerSecond: Int = DEFAULT_CALLS_PER_SECOND
) : AutoCloseable {
    private val published = MutableStateFlow(PublishedDocuments())
    private val limiter = CallLimiter(callsPerSecond)
    private val server: StandInServer

    init {
        documents.forEach { (name, bytes) -> publish(name, bytes) }
        server = StandInServer(port) {
            routing {
                readRoutes()
                testRoutes()
            }
        }
    }

    /** Host and port of the service. */
    val address: String get() = server.address

    /** Calls so far, without those to test controls; a watch counts once, however long it waits. */
    val callCount: Long get() = limiter.callCount

    /** Publishes a new version of a document. */
    fun publish(name: String, bytes: ByteArray) = published.update { it.withDocument(name, bytes) }

    /** Sets how the service answers calls, and waiting watches once a document changes. */
    fun setMode(mode: ServiceMode) = published.update { it.copy(mode = mode) }

    /**
     * Serves the documents as of [sequence], as a stale replica does; null serves the newest again.
     */
    fun serveSnapshot(sequence: Long?) = published.update { it.copy(pinnedSequence = sequence) }

    override fun close() = server.close()

    private fun Route.readRoutes() {
        get("/documents") {
            rateLimited(call) { respondJson(call, listingJson(published.value)) }
        }
        get("/documents/{name}") {
            rateLimited(call) { respondDocument(call) }
        }
        get("/watch") {
            rateLimited(call) {
                val after = sequenceAfter(call)
                val changed = published.longPoll(call) { it.visibleSequence > after }
                if (changed == null) {
                    respondNoContent(call)
                } else {
                    respondInMode(call) { respondJson(call, listingJson(changed)) }
                }
            }
        }
    }

    private fun Route.testRoutes() {
        post("/test/publish") {
            publish(call.request.queryParameters["name"].orEmpty(), call.receive<ByteArray>())
            respondJson(call, listingJson(published.value))
        }
        post("/test/mode") {
            val mode = ServiceMode.entries
                .firstOrNull { it.code == call.request.queryParameters["mode"] }
            if (mode == null) {
                respondError(call, HttpStatusCode.BadRequest, "mode is up, unavailable or hang")
            } else {
                setMode(mode)
                respondJson(call, JsonObject(emptyMap()))
            }
        }
        post("/test/snapshot") {
            serveSnapshot(call.request.queryParameters["sequence"]?.toLongOrNull())
            respondJson(call, JsonObject(emptyMap()))
        }
        get("/test/calls") {
            respondJson(call, buildJsonObject { put("calls", limiter.callCount) })
        }
    }

    private suspend fun rateLimited(call: ApplicationCall, respond: suspend () -> Unit) {
        if (limiter.tryAcquire()) {
            respondInMode(call, respond)
        } else {
            respondError(call, HttpStatusCode.TooManyRequests, "rate limit")
        }
    }

    private suspend fun respondInMode(call: ApplicationCall, respond: suspend () -> Unit) =
        when (published.value.mode) {
            ServiceMode.UP -> respond()

            ServiceMode.UNAVAILABLE ->
                respondError(call, HttpStatusCode.ServiceUnavailable, "unavailable")

            ServiceMode.HANG -> awaitCancellation()
        }

    private suspend fun respondDocument(call: ApplicationCall) {
        val document = published.value.visible[call.parameters["name"]]
        if (document == null) {
            respondError(call, HttpStatusCode.NotFound, "unknown document")
        } else {
            call.response.header(HttpHeaders.ETag, "\"${document.etag}\"")
            call.respondBytes(document.bytes)
        }
    }

    companion object {
        /** Calls per second that the platform's configuration service allows. */
        const val DEFAULT_CALLS_PER_SECOND = 2000
    }
}

private fun listingJson(published: PublishedDocuments): JsonObject = buildJsonObject {
    put("sequence", published.visibleSequence)
    putJsonArray("documents") {
        published.visible.values.forEach {
            add(
                buildJsonObject {
                    put("name", it.name)
                    put("version", it.version)
                    put("etag", it.etag)
                }
            )
        }
    }
}
