/*
 * Sends a completion request and measures the times of its response.
 */
package org.gypsumroute.cli.load

import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import okhttp3.Dispatcher
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okio.BufferedSource

/**
 * Outcome of request [number] of a plan. [firstToken] and [total] count from the planned arrival,
 * [gaps] are the times between two consecutive texts, and [error] is null after a success.
 */
data class CallOutcome(
    val number: Int,
    val promptTokens: Int,
    val error: String?,
    val firstToken: Duration?,
    val gaps: List<Duration>,
    val total: Duration
)

/** Where and how requests are sent; [key] is the bearer key. */
class CallTarget(
    val entries: List<String>,
    val service: String,
    val key: String,
    val timeoutSeconds: Int
)

/** Sends completion requests; the number of a request decides to which entry it goes, in turn. */
class CompletionCaller(
    private val target: CallTarget,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic
) {
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .readTimeout(target.timeoutSeconds + READ_TIMEOUT_MARGIN_SECONDS, TimeUnit.SECONDS)
        .dispatcher(
            Dispatcher().apply {
                maxRequests = MAX_OPEN_CALLS
                maxRequestsPerHost = MAX_OPEN_CALLS
            }
        )
        .build()

    /** Sends the request and blocks until its response ends; [arrival] is its planned time. */
    fun call(planned: PlannedRequest, arrival: ComparableTimeMark): CallOutcome {
        val entry = target.entries[planned.number % target.entries.size]
        val request = Request.Builder()
            .url("$entry/v1/completions")
            .header("Authorization", "Bearer ${target.key}")
            .header("X-Request-Timeout", target.timeoutSeconds.toString())
            .post(completionBody(target.service, planned).toRequestBody(JSON_TYPE))
            .build()
        return try {
            client.newCall(request).execute().use { response ->
                val source = response.body.source()
                if (response.isSuccessful) {
                    readStream(planned, source, arrival)
                } else {
                    failedOutcome(planned, errorKind(source.readUtf8()), arrival)
                }
            }
        } catch (failure: IOException) {
            failedOutcome(planned, "connection: ${failure.javaClass.simpleName}", arrival)
        }
    }

    fun close() {
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private fun readStream(
        planned: PlannedRequest,
        source: BufferedSource,
        arrival: ComparableTimeMark
    ): CallOutcome {
        val textTimes = mutableListOf<ComparableTimeMark>()
        val end = dataLines(source).firstOrNull { data ->
            val isText = data != END_MARKER && "error" !in Json.parseToJsonElement(data).jsonObject
            if (isText) textTimes += timeSource.markNow()
            !isText
        }
        val error = when (end) {
            null -> "answer ended without an end mark"
            END_MARKER -> null
            else -> errorKind(end)
        }
        return CallOutcome(
            number = planned.number,
            promptTokens = planned.promptTokens,
            error = error,
            firstToken = textTimes.firstOrNull()?.let { it - arrival },
            gaps = textTimes.zipWithNext { earlier, later ->
                earlier.elapsedNow() - later.elapsedNow()
            },
            total = arrival.elapsedNow()
        )
    }

    private fun failedOutcome(planned: PlannedRequest, error: String, arrival: ComparableTimeMark) =
        CallOutcome(
            planned.number,
            planned.promptTokens,
            error,
            null,
            emptyList(),
            arrival.elapsedNow()
        )
}

private fun dataLines(source: BufferedSource): Sequence<String> =
    generateSequence { source.readUtf8Line() }
        .filter { it.startsWith(DATA_PREFIX) }
        .map { it.removePrefix(DATA_PREFIX) }

private fun completionBody(service: String, planned: PlannedRequest): String {
    val body: JsonObject = buildJsonObject {
        put("model", service)
        put("prompt", promptOf(planned))
        put("max_tokens", planned.outputTokens)
        put("stream", true)
    }
    return body.toString()
}

/** A prompt of the planned length. It starts with the request's number, so that each differs. */
private fun promptOf(planned: PlannedRequest): String {
    val start = "request ${planned.number}: "
    val bytes = planned.promptTokens * BYTES_PER_TOKEN
    return start.padEnd(bytes, FILLER).take(bytes)
}

private fun errorKind(body: String): String = try {
    val error = Json.parseToJsonElement(body).jsonObject["error"]?.jsonObject
    error?.get("kind")?.jsonPrimitive?.content ?: UNREADABLE_ERROR
} catch (_: IllegalArgumentException) {
    UNREADABLE_ERROR
}

private val JSON_TYPE = "application/json".toMediaType()
private const val DATA_PREFIX = "data: "
private const val END_MARKER = "[DONE]"
private const val UNREADABLE_ERROR = "unreadable error"
private const val FILLER = 'x'
private const val BYTES_PER_TOKEN = 4
private const val MAX_OPEN_CALLS = 2_000
private const val READ_TIMEOUT_MARGIN_SECONDS = 5L
