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

/** The routes for plain services: calls and action keys. */
internal class CallRoutes(
    private val settings: CallersHttpSettings,
    private val events: EventSink
) {
    /** `POST /v1/services/{service}/calls/{path}`. */
    suspend fun serveCall(call: ApplicationCall, exchange: Exchange, headers: CallerHeaders) {
        exchange.body = receiveBody(call, exchange, headers, settings, events) ?: return
        events(
            CallerEvent.CallArrived(
                request = exchange.request,
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
    suspend fun serveActionKey(call: ApplicationCall, exchange: Exchange, headers: CallerHeaders) {
        val request = exchange.request
        events(CallerEvent.Opened(request, headers.keyDigest, Bytes.ZERO))
        val accepted = exchange.bodyAccepted.await()
        if (accepted is Either.Left) return respondFailure(call, exchange, accepted.value)
        events(
            CallerEvent.ActionKeyWanted(
                request,
                serviceOf(call),
                headers.keyDigest,
                headers.timeout
            )
        )
        when (val issued = exchange.actionKey.await()) {
            is Either.Left -> return respondFailure(call, exchange, issued.value)

            is Either.Right -> respondJson(
                call,
                buildJsonObject { put("action_key", issued.value.value) },
                HttpStatusCode.Created
            )
        }
    }

    // The status of a plain service's response arrives with the last frame, so the response is only
    // sent once it is complete.
    private suspend fun answer(call: ApplicationCall, exchange: Exchange) {
        val bytes = ByteArrayOutputStream()
        var portion = exchange.answer.take()
        while (portion is AnswerPortion.Text) {
            bytes.write(portion.bytes)
            portion = exchange.answer.take()
        }
        if (portion is AnswerPortion.Failed) return respondFailure(call, exchange, portion.failure)
        val frame = (portion as AnswerPortion.End).frame
        val contentType = runCatching { ContentType.parse(frame.contentType) }.getOrNull()
        call.respondBytes(bytes.toByteArray(), contentType, HttpStatusCode.fromValue(frame.status))
    }

    private fun serviceOf(call: ApplicationCall) = ServiceId(call.parameters["service"].orEmpty())
}
