package org.gypsumroute.entry.http

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kotlinx.serialization.json.JsonElement
import org.gypsumroute.api.ServiceId
import org.gypsumroute.core.EntryState
import org.gypsumroute.process.NodeProcess

/** The HTTP port for operators: health and readiness, metrics, status, documents, burn rates. */
internal class OperatorsHttp(address: String, port: Int, private val process: NodeProcess) {
    private val server = embeddedServer(CIO, port = port, host = address) {
        routing {
            get("/health") { call.respondText("ok\n") }
            get("/ready") { respondReady(call) }
            get("/metrics") { call.respondText(process.metrics.scrape(), metricsContentType) }
            get("/status") {
                val state = process.state as EntryState
                respondJsonElement(call, statusJson(state))
            }
            get("/burn") { respondJsonElement(call, burnJson(process.burnRates.report())) }
            get("/documents/{service}") { respondDocument(call) }
        }
    }

    /** Starts listening and returns the port in use. */
    suspend fun start(): Int {
        server.start(wait = false)
        return server.engine.resolvedConnectors().first().port
    }

    fun stop() = server.stop(STOP_TIMEOUT_MILLISECONDS, STOP_TIMEOUT_MILLISECONDS)

    private suspend fun respondReady(call: ApplicationCall) = if (process.isReady) {
        call.respondText("ready\n")
    } else {
        call.respondText("not ready\n", status = HttpStatusCode.ServiceUnavailable)
    }

    /** Responds with the bytes of the accepted document, exactly as they were published. */
    private suspend fun respondDocument(call: ApplicationCall) {
        val service = ServiceId(call.parameters["service"].orEmpty())
        val accepted = process.state.common.documents.accepted[service]
        if (accepted == null) {
            call.respondText("no accepted document\n", status = HttpStatusCode.NotFound)
        } else {
            call.response.header(HttpHeaders.ETag, "\"${accepted.digest}\"")
            call.respondBytes(accepted.content.bytes, documentContentType)
        }
    }

    private suspend fun respondJsonElement(call: ApplicationCall, content: JsonElement) =
        call.respondText(content.toString(), ContentType.Application.Json)

    private companion object {
        const val STOP_TIMEOUT_MILLISECONDS = 200L
        val documentContentType = ContentType.parse("application/yaml; charset=utf-8")
        val metricsContentType = ContentType.parse("text/plain; version=0.0.4; charset=utf-8")
    }
}
