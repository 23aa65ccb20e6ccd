/*
 * Calls an engine stand-in directly, as the baseline of what the router adds.
 */
package org.gypsumroute.measure

import java.io.IOException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okio.BufferedSource
import org.gypsumroute.cli.load.CallOutcome
import org.gypsumroute.cli.load.PlannedRequest

internal class EngineCaller(private val url: String, private val priority: (Int) -> Int = { 1 }) {
    private val ids = AtomicLong()
    private val client = OkHttpClient.Builder().readTimeout(120, TimeUnit.SECONDS).build()

    /** Sends the request and blocks until its answer ended; [arrival] is its planned time. */
    fun call(planned: PlannedRequest, arrival: ComparableTimeMark): CallOutcome {
        val options = """{"output_limit": ${planned.outputTokens}, """ +
            """"priority": ${priority(planned.promptTokens)}, "export": false, "imports": []}"""
        val head = "request ${planned.number}: "
        val request = Request.Builder()
            .url("$url/streams?id=direct-${ids.incrementAndGet()}")
            .header("Stream-Options", options)
            .post(head.padEnd(planned.promptTokens * 4, 'x').toRequestBody())
            .build()
        return try {
            client.newCall(request).execute().use { response ->
                val error = if (response.isSuccessful) null else "status ${response.code}"
                read(planned, response.body.source(), arrival, error)
            }
        } catch (failure: IOException) {
            outcome(planned, "connection: ${failure.message}", null, arrival)
        }
    }

    private fun read(
        planned: PlannedRequest,
        source: BufferedSource,
        arrival: ComparableTimeMark,
        refusal: String?
    ): CallOutcome {
        var first: Duration? = null
        var error = refusal
        for (line in generateSequence { source.readUtf8Line() }) {
            if (first == null && "\"chunk\"" in line) first = arrival.elapsedNow()
            if ("\"failed\"" in line) error = line
        }
        return outcome(planned, error, first, arrival)
    }

    private fun outcome(
        planned: PlannedRequest,
        error: String?,
        first: Duration?,
        arrival: ComparableTimeMark
    ) = CallOutcome(
        planned.number,
        planned.promptTokens,
        error,
        first,
        emptyList(),
        arrival.elapsedNow()
    )
}
