/*
 * HTTP interface of the engine stand-in; `docs/platform-protocols.md` describes the protocol.
 */
package org.gypsumroute.test

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.transformWhile
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Stand-in of a model engine. [onKill] runs when a test calls `/test/kill`. */
class EngineStandIn(
    settings: EngineSettings = EngineSettings(),
    port: Int = 0,
    private val onKill: (EngineStandIn) -> Unit = { it.close() }
) : AutoCloseable {
    private val control = EngineControl(settings)
    private val server = StandInServer(port) {
        routing {
            streamRoutes()
            handleRoutes()
            get("/state") { respondJson(call, engineReportJson(control.state, control.now())) }
            get("/cache-events") {
                val after = call.request.queryParameters["after"]?.toLongOrNull() ?: 0
                respondJson(call, cacheEventsJson(control.state, after, control.now()))
            }
            post("/orders") { receiveOrder(call) }
            testRoutes()
        }
    }

    /** Host and port of the engine. */
    val address: String get() = server.address

    /** The simulated engine's current state, without the report lag. */
    val state: EngineSimulation get() = control.state

    /** Replaces the injected faults, as the test control `/test/faults` does. */
    suspend fun setFaults(faults: EngineFaults) {
        control.submit { callId, at -> EngineSimulationEvent.SetFaults(at, callId, faults) }
    }

    override fun close() {
        server.close()
        control.close()
    }

    private fun Route.streamRoutes() {
        post("/streams") { openStream(call) }
        get("/streams") {
            val from = call.request.queryParameters["from"]?.toIntOrNull() ?: 0
            val progress = control.progress(streamId(call))
            if (progress == null) {
                respondError(call, HttpStatusCode.NotFound, "unknown stream")
            } else {
                writeStream(call, progress, from)
            }
        }
        delete("/streams") {
            val id = streamId(call)
            respondAnswer(call) { callId, at -> EngineSimulationEvent.Cancel(at, callId, id) }
        }
    }

    private fun Route.handleRoutes() {
        get("/handles") {
            val id = streamId(call)
            val tokens = control.state.handles[id]
            if (tokens == null) {
                respondError(call, HttpStatusCode.NotFound, "unknown handle")
            } else {
                respondJson(call, handleJson(id, tokens))
            }
        }
        delete("/handles") {
            val id = streamId(call)
            respondAnswer(call) { callId, at -> EngineSimulationEvent.Release(at, callId, id) }
        }
    }

    private fun Route.testRoutes() {
        post("/test/faults") {
            val query = call.request.queryParameters
            val faults = EngineFaults(
                lostCancels = query["lost_cancels"]?.toInt() ?: 0,
                silentStreams = query["silent_streams"]?.toInt() ?: 0
            )
            respondAnswer(call) { callId, at ->
                EngineSimulationEvent.SetFaults(at, callId, faults)
            }
        }
        post("/test/cold") {
            val tokens = call.request.queryParameters["tokens"]?.toLong() ?: Long.MAX_VALUE
            respondAnswer(call) { callId, at -> EngineSimulationEvent.TurnCold(at, callId, tokens) }
        }
        post("/test/kill") { onKill(this@EngineStandIn) }
    }

    private suspend fun openStream(call: ApplicationCall) {
        val options = parseStreamOptions(call.request.headers["Stream-Options"])
        if (options == null) {
            respondError(call, HttpStatusCode.BadRequest, "bad Stream-Options header")
            return
        }
        val id = streamId(call)
        val prompt = digestBody(call)
        val missingImport = options.imports.firstOrNull { !EngineImports.exists(it) }
        if (missingImport != null) {
            val detail = "cannot import handle ${missingImport.handle}"
            respondError(call, HttpStatusCode.FailedDependency, detail)
            return
        }
        val answer = control.submit { callId, at ->
            EngineSimulationEvent.Open(
                at = at,
                callId = callId,
                id = id,
                prompt = prompt,
                outputLimit = options.outputLimit,
                priority = options.priority,
                export = options.export
            )
        }
        val progressFlow = answer.progressFlow
        if (progressFlow == null) {
            respondError(call, HttpStatusCode.fromValue(answer.effect.status), answer.effect.detail)
        } else {
            writeStream(call, progressFlow, 0)
        }
    }

    private suspend fun digestBody(call: ApplicationCall): PromptDigest {
        val digester = PromptDigester()
        val buffer = ByteArray(BUFFER_BYTES)
        val channel = call.receiveChannel()
        while (true) {
            val length = channel.readAvailable(buffer, 0, buffer.size)
            if (length < 0) return digester.finish()
            digester.update(buffer, length)
        }
    }

    private suspend fun writeStream(
        call: ApplicationCall,
        progress: StateFlow<StreamProgress>,
        from: Int
    ) {
        call.respondBytesWriter(contentType = STREAM_TYPE) {
            var next = from
            progress.transformWhile {
                emit(it)
                it.outcome == null
            }.collect {
                writeStringUtf8(streamLines(it, next))
                flush()
                next = maxOf(next, it.producedTokens)
            }
        }
    }

    private suspend fun receiveOrder(call: ApplicationCall) {
        val order = parseOrder(call.receiveText())
        if (order == null) {
            respondError(call, HttpStatusCode.BadRequest, "bad order")
            return
        }
        respondAnswer(call) { callId, at ->
            EngineSimulationEvent.Order(at, callId, order.fencing, order.load, order.role)
        }
    }

    private suspend fun respondAnswer(
        call: ApplicationCall,
        event: (Long, Long) -> EngineSimulationEvent
    ) {
        val answer = control.submit(event).effect
        if (answer.status == HttpStatusCode.OK.value) {
            respondJson(call, JsonObject(mapOf("detail" to JsonPrimitive(answer.detail))))
        } else {
            respondError(call, HttpStatusCode.fromValue(answer.status), answer.detail)
        }
    }

    private fun streamId(call: ApplicationCall): String =
        call.request.queryParameters["id"].orEmpty()

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
        val STREAM_TYPE = ContentType("application", "x-ndjson")
    }
}

internal suspend fun respondJson(call: ApplicationCall, body: JsonObject) =
    call.respondText(Json.encodeToString(body), ContentType.Application.Json)

internal suspend fun respondError(call: ApplicationCall, status: HttpStatusCode, detail: String) {
    val body = JsonObject(mapOf("error" to JsonPrimitive(detail)))
    call.respondText(Json.encodeToString(body), ContentType.Application.Json, status)
}
