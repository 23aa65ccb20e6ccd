package org.gypsumroute.entry.http

import arrow.core.Either
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import java.io.ByteArrayOutputStream
import kotlinx.serialization.json.JsonObject
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Tokens
import org.gypsumroute.entry.AnswerPortion
import org.gypsumroute.entry.Exchange
import org.gypsumroute.runtime.EventSink

/** `POST /v1/completions`; the answer is one JSON object or a stream of server-sent events. */
internal class CompletionRoute(
    private val settings: CallersHttpSettings,
    private val events: EventSink
) {
    suspend fun serve(call: ApplicationCall, exchange: Exchange, headers: CallerHeaders) {
        val body = receiveBody(call, exchange, headers, settings, events) ?: return
        val completion = when (val decoded = decodeCompletion(body)) {
            is Either.Left ->
                return rejectRequest(
                    call,
                    exchange,
                    events,
                    ErrorKind.MALFORMED_REQUEST,
                    decoded.value
                )

            is Either.Right -> decoded.value
        }
        exchange.body = completion.prompt.encodeToByteArray()
        val arrived = generationArrived(exchange, completion, headers)
        events(arrived)
        answer(call, exchange, completion.stream, arrived.promptTokens)
    }

    private fun generationArrived(
        exchange: Exchange,
        completion: CompletionRequest,
        headers: CallerHeaders
    ) = CallerEvent.GenerationArrived(
        request = exchange.request,
        service = ServiceId(completion.model),
        keyDigest = headers.keyDigest,
        promptTokens = estimateTokens(exchange.body),
        bodyBytes = Bytes(exchange.body.size.toLong()),
        outputLimit = completion.outputLimit?.let(::Tokens),
        timeout = headers.timeout,
        prefix = prefixDigest(exchange.body)
    )

    private suspend fun answer(
        call: ApplicationCall,
        exchange: Exchange,
        stream: Boolean,
        promptTokens: Tokens
    ) {
        // No status line is sent before the first portion, so that a refusal gets its own status.
        val first = exchange.answer.take()
        when {
            first is AnswerPortion.Failed -> respondFailure(call, exchange, first.failure)

            stream -> {
                call.response.header(HttpHeaders.CacheControl, "no-store")
                call.respondBytesWriter(ContentType.Text.EventStream) {
                    writeEvents(this, exchange, first)
                }
            }

            else -> answerAtOnce(call, exchange, first, promptTokens)
        }
    }

    private suspend fun answerAtOnce(
        call: ApplicationCall,
        exchange: Exchange,
        first: AnswerPortion,
        promptTokens: Tokens
    ) {
        val text = ByteArrayOutputStream()
        var portion = first
        while (portion is AnswerPortion.Text) {
            text.write(portion.bytes)
            portion = exchange.answer.take()
        }
        if (portion is AnswerPortion.Failed) return respondFailure(call, exchange, portion.failure)
        val end = portion as AnswerPortion.End
        val content = completion(
            exchange.request,
            text.toString(Charsets.UTF_8),
            end.frame.finishReason,
            promptTokens,
            end.tokens
        )
        respondJson(call, content)
    }
}

private suspend fun writeEvents(out: ByteWriteChannel, exchange: Exchange, first: AnswerPortion) {
    var portion = first
    while (portion is AnswerPortion.Text) {
        out.writeEvent(completionChunk(exchange.request, portion.bytes.decodeToString(), null))
        portion = exchange.answer.take()
    }
    when (portion) {
        is AnswerPortion.Failed -> out.writeEvent(errorJson(portion.failure, exchange.request))

        is AnswerPortion.End -> {
            out.writeEvent(completionChunk(exchange.request, "", portion.frame.finishReason))
            out.writeStringUtf8("data: [DONE]\n\n")
            out.flush()
        }

        is AnswerPortion.Text -> Unit
    }
}

private suspend fun ByteWriteChannel.writeEvent(content: JsonObject) {
    writeStringUtf8("data: $content\n\n")
    flush()
}
