/*
 * A caller that sends a completion request and reads the streamed answer.
 */
package org.gypsumroute.systemtest

import java.io.IOException
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okio.BufferedSource

/** Outcome of a streamed completion: what was received and, if it failed, the error. */
internal data class StreamOutcome(
    val status: Int,
    val text: String,
    /** Whether the final `[DONE]` event was received. */
    val isComplete: Boolean,
    val errorKind: String?,
    val runState: String?
)

/** Sends the request on its own thread and reads the answer until its end. */
internal class StreamingCall(
    private val callersUrl: String,
    private val body: String,
    private val timeout: Duration,
    private val requestId: String?
) {
    private val lock = ReentrantLock()
    private val progressed = lock.newCondition()
    private val text = StringBuilder()
    private var tokens = 0
    private var outcome: StreamOutcome? = null

    init {
        thread(isDaemon = true, name = "caller") { finish(run()) }
    }

    val isDone: Boolean get() = lock.withLock { outcome != null }

    /** The outcome, or null while the answer is being received. */
    val ended: StreamOutcome? get() = lock.withLock { outcome }

    /** Tokens received so far. */
    val received: Int get() = lock.withLock { tokens }

    /** Waits until at least [count] tokens have been received; fails after [limit]. */
    fun awaitTokens(count: Int, limit: Duration = 20.seconds) = lock.withLock {
        var remaining = limit.inWholeNanoseconds
        while (tokens < count && outcome == null && remaining > 0) {
            remaining = progressed.awaitNanos(remaining)
        }
        check(tokens >= count) { "$tokens of $count tokens, $outcome" }
    }

    /** Waits for the end of the answer; fails after [limit]. */
    fun await(limit: Duration): StreamOutcome = lock.withLock {
        var remaining = limit.inWholeNanoseconds
        while (outcome == null && remaining > 0) remaining = progressed.awaitNanos(remaining)
        outcome ?: throw AssertionError("no end of the answer within $limit, $tokens tokens")
    }

    private fun finish(result: StreamOutcome) = lock.withLock {
        outcome = result
        progressed.signalAll()
    }

    private fun run(): StreamOutcome {
        val request = Request.Builder().url("$callersUrl/v1/completions")
            .header("Authorization", "Bearer $CALLER_KEY")
            .header(
                "X-Request-Timeout",
                timeout.toString(kotlin.time.DurationUnit.SECONDS, 1)
                    .removeSuffix("s")
            )
            .apply { requestId?.let { header("X-Request-Id", it) } }
            .post(body.toRequestBody())
            .build()
        val client = httpClient.newBuilder()
            .readTimeout(timeout.inWholeSeconds + EXTRA_READ_SECONDS, TimeUnit.SECONDS).build()
        return try {
            client.newCall(request).execute().use { response ->
                val source = response.body.source()
                if (response.isSuccessful) {
                    read(source)
                } else {
                    failed(response.code, source.readUtf8())
                }
            }
        } catch (failure: IOException) {
            StreamOutcome(0, received(), false, "connection: ${failure.message}", null)
        }
    }

    private fun read(source: BufferedSource): StreamOutcome =
        generateSequence { source.readUtf8Line() }
            .filter { it.startsWith(DATA_PREFIX) }
            .firstNotNullOfOrNull { readEvent(it.removePrefix(DATA_PREFIX)) }
            ?: StreamOutcome(200, received(), false, "no end mark", null)

    /**
     * Appends the text of an event; returns the outcome if the event ends the answer, else null.
     */
    private fun readEvent(data: String): StreamOutcome? {
        if (data == "[DONE]") return StreamOutcome(200, received(), true, null, null)
        val json = Json.parseToJsonElement(data).jsonObject
        if ("error" in json) return failed(200, data)
        add(json.objectArray("choices").first().stringField("text").orEmpty())
        return null
    }

    private fun add(part: String) = lock.withLock {
        text.append(part)
        tokens += part.count { it == ' ' }
        progressed.signalAll()
    }

    private fun received(): String = lock.withLock { text.toString() }

    private fun failed(status: Int, body: String): StreamOutcome {
        val answer = HttpAnswer(status, body)
        val kind = answer.error("kind")
        return StreamOutcome(status, received(), false, kind, answer.error("run_state"))
    }

    private companion object {
        const val DATA_PREFIX = "data: "
        const val EXTRA_READ_SECONDS = 30L
    }
}

/** The text that an engine stand-in generates for a prompt that does not end in generated text. */
internal fun numberedText(tokens: Int): String = (0 until tokens).joinToString("") { "t$it " }
