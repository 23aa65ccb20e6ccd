/*
 * The JSON responses that callers receive.
 */
package org.gypsumroute.entry.http

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlin.math.ceil
import kotlin.time.DurationUnit
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.gypsumroute.api.Failure
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RetryAdvice
import org.gypsumroute.api.Tokens

/** The body of an error response, and of the error event in a stream. */
internal fun errorJson(failure: Failure, request: RequestId): JsonObject = buildJsonObject {
    putJsonObject("error") {
        put("kind", failure.kind.code)
        put("detail", failure.detail)
        put("run_state", failure.runState.code)
        put("retry", failure.kind.retry.code)
        put("retry_after_seconds", retryAfterSeconds(failure))
        put("request_id", request.value)
    }
}

/** Responds with an error; nothing of the response may have been sent before. */
internal suspend fun respondError(call: ApplicationCall, failure: Failure, request: RequestId) {
    retryAfterSeconds(failure)?.let {
        call.response.header(HttpHeaders.RetryAfter, ceil(it).toLong().toString())
    }
    respondJson(
        call,
        errorJson(failure, request),
        HttpStatusCode.fromValue(failure.kind.httpStatus)
    )
}

internal suspend fun respondJson(
    call: ApplicationCall,
    content: JsonObject,
    status: HttpStatusCode = HttpStatusCode.OK
) = call.respondText(content.toString(), ContentType.Application.Json, status)

/** One event of a streamed completion; [finishReason] is null in all but the last. */
internal fun completionChunk(request: RequestId, text: String, finishReason: String?): JsonObject =
    buildJsonObject {
        putCompletion(request, text, finishReason)
    }

/** A completion that is sent as one response, with the token counts of [prompt] and [output]. */
internal fun completion(
    request: RequestId,
    text: String,
    finishReason: String,
    prompt: Tokens,
    output: Tokens
): JsonObject = buildJsonObject {
    putCompletion(request, text, finishReason)
    putJsonObject("usage") {
        put("prompt_tokens", prompt.count)
        put("completion_tokens", output.count)
        put("total_tokens", prompt.count + output.count)
    }
}

private fun JsonObjectBuilder.putCompletion(
    request: RequestId,
    text: String,
    finishReason: String?
) {
    put("id", request.value)
    put("object", "text_completion")
    putJsonArray("choices") {
        addJsonObject {
            put("text", text)
            put("index", 0)
            put("finish_reason", finishReason)
        }
    }
}

private fun retryAfterSeconds(failure: Failure): Double? = when {
    failure.retryAfter != null -> failure.retryAfter?.toDouble(DurationUnit.SECONDS)
    failure.kind.retry == RetryAdvice.LATER -> DEFAULT_RETRY_AFTER_SECONDS
    else -> null
}

// Used if a failure that can be retried later has no estimate of its own: long enough for the next
// heartbeat of an endpoint to report its state.
private const val DEFAULT_RETRY_AFTER_SECONDS = 1.0
