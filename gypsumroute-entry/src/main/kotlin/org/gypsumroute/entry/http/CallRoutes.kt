package org.gypsumroute.entry.http

import arrow.core.Either
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytes
import java.io.ByteArrayOutputStream
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ServiceId
import org.gypsumroute.entry.AnswerPortion
import org.gypsumroute.entry.Exchange
import org.gypsumroute.runtime.EventSink

/** The routes of plain services: calls and action keys. */
internal class CallRoutes(
    private val settings: CallersHttpSettings,
    private val events: EventSink
) {
    /** `POST /v1/services/{service}/calls/{path}`. */
    suspend fun serve(call: ApplicationCall, exchange: Exchange, headers: CallerHeaders) {
        val request = exchange.request
        events(CallerEvent.Opened(request, headers.keyDigest, headers.declaredBytes))
        val accepted = exchange.bodyAccepted.await()
        if (accepted is Either.Left) return refuse(call, exchange, accepted.value)
        val time = headers.timeout ?: settings.bodyTime
        exchange.body = when (val read = readBody(call, settings.largestBody, time)) {
            is Either.Left -> return reject(call, exchange, events, read.value, bodyFault(settings))
            is Either.Right -> read.value
        }
        events(
            CallerEvent.CallArrived(
                request = request,
                service = serviceOf(call),
                keyDigest = headers.keyDigest,
                path = "/" + call.parameters.getAll("path").orEmpty().joinToString("/"),
                bodyBytes = Bytes(exchange.body.size.toLong()),
                timeout = headers.timeout,
                actionKey = headers.actionKey
            )
        )
        answer(call, exchange)
    }

    /** `POST /v1/services/{service}/action-keys`. */
    suspend fun serveKey(call: ApplicationCall, exchange: Exchange, headers: CallerHeaders) {
        val request = exchange.request
        events(CallerEvent.Opened(request, headers.keyDigest, Bytes.ZERO))
        val accepted = exchange.bodyAccepted.await()
        if (accepted is Either.Left) return refuse(call, exchange, accepted.value)
        events(
            CallerEvent.ActionKeyWanted(
                request,
                serviceOf(call),
                headers.keyDigest,
                headers.timeout
            )
        )
        when (val issued = exchange.actionKey.await()) {
            is Either.Left -> return refuse(call, exchange, issued.value)

            is Either.Right -> respondJson(
                call,
                buildJsonObject { put("action_key", issued.value.value) },
                HttpStatusCode.Created
            )
        }
    }

    // A plain service's status comes with the end mark, so its answer is sent as a whole.
    private suspend fun answer(call: ApplicationCall, exchange: Exchange) {
        val bytes = ByteArrayOutputStream()
        var portion = exchange.answer.take()
        while (portion is AnswerPortion.Text) {
            bytes.write(portion.bytes)
            portion = exchange.answer.take()
        }
        if (portion is AnswerPortion.Failed) return refuse(call, exchange, portion.failure)
        val mark = (portion as AnswerPortion.End).mark
        val type = runCatching { ContentType.parse(mark.contentType) }.getOrNull()
        call.respondBytes(bytes.toByteArray(), type, HttpStatusCode.fromValue(mark.status))
    }

    private fun serviceOf(call: ApplicationCall) = ServiceId(call.parameters["service"].orEmpty())
}
