/*
 * Sends one completion and times its answer.
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

/** What became of request [number] of a plan. Times count from its planned arrival. */
data class CallOutcome(
    val number: Int,
    val promptTokens: Int,
    val error: String?,
    val firstToken: Duration?,
    val gaps: List<Duration>,
    val total: Duration
)

/** Where and how requests are sent. */
class CallTarget(
    val entries: List<String>,
    val service: String,
    val key: String,
    val timeoutSeconds: Int
)

/** Sends completions to the entries in turn, by the request's number. */
class CompletionCaller(
    private val target: CallTarget,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic
) {
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .readTimeout(target.timeoutSeconds + ANSWER_GRACE_SECONDS, TimeUnit.SECONDS)
        .dispatcher(
            Dispatcher().apply {
                maxRequests = MOST_OPEN_CALLS
                maxRequestsPerHost = MOST_OPEN_CALLS
            }
        )
        .build()

    /** Sends the request and blocks until its answer ended; [arrival] is its planned time. */
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
                    failed(planned, errorKind(source.readUtf8()), arrival)
                }
            }
        } catch (failure: IOException) {
            failed(planned, "connection: ${failure.javaClass.simpleName}", arrival)
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
        val texts = mutableListOf<ComparableTimeMark>()
        val end = dataLines(source).firstOrNull { data ->
            val isText = data != END_MARK && "error" !in Json.parseToJsonElement(data).jsonObject
            if (isText) texts += timeSource.markNow()
            !isText
        }
        val error = when (end) {
            null -> "answer ended without an end mark"
            END_MARK -> null
            else -> errorKind(end)
        }
        return CallOutcome(
            number = planned.number,
            promptTokens = planned.promptTokens,
            error = error,
            firstToken = texts.firstOrNull()?.let { it - arrival },
            gaps = texts.zipWithNext { earlier, later ->
                earlier.elapsedNow() - later.elapsedNow()
            },
            total = arrival.elapsedNow()
        )
    }

    private fun failed(planned: PlannedRequest, error: String, arrival: ComparableTimeMark) =
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

/** A prompt of the planned length that starts differently for each request. */
private fun promptOf(planned: PlannedRequest): String {
    val head = "request ${planned.number}: "
    val bytes = planned.promptTokens * BYTES_PER_TOKEN
    return head.padEnd(bytes, FILLER).take(bytes)
}

private fun errorKind(body: String): String = try {
    val error = Json.parseToJsonElement(body).jsonObject["error"]?.jsonObject
    error?.get("kind")?.jsonPrimitive?.content ?: UNREADABLE
} catch (_: IllegalArgumentException) {
    UNREADABLE
}

private val JSON_TYPE = "application/json".toMediaType()
private const val DATA_PREFIX = "data: "
private const val END_MARK = "[DONE]"
private const val UNREADABLE = "unreadable error"
private const val FILLER = 'x'
private const val BYTES_PER_TOKEN = 4
private const val MOST_OPEN_CALLS = 2_000
private const val ANSWER_GRACE_SECONDS = 5L
