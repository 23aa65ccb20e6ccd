/*
 * Calls an engine stand-in directly. Measurements use it as the baseline without the router.
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

/** Sends requests to the engine at [url]; [priority] gives the priority for a prompt length. */
internal class EngineCaller(private val url: String, private val priority: (Int) -> Int = { 1 }) {
    private val lastStreamId = AtomicLong()
    private val client = OkHttpClient.Builder().readTimeout(120, TimeUnit.SECONDS).build()

    /**
     * Sends the request and blocks until its answer has ended. Times count from [arrival], the
     * planned time of the request.
     */
    fun call(planned: PlannedRequest, arrival: ComparableTimeMark): CallOutcome {
        val options = """{"output_limit": ${planned.outputTokens}, """ +
            """"priority": ${priority(planned.promptTokens)}, "export": false, "imports": []}"""
        val promptStart = "request ${planned.number}: "
        val request = Request.Builder()
            .url("$url/streams?id=direct-${lastStreamId.incrementAndGet()}")
            .header("Stream-Options", options)
            .post(promptStart.padEnd(planned.promptTokens * 4, 'x').toRequestBody())
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
        statusError: String?
    ): CallOutcome {
        var firstToken: Duration? = null
        var error = statusError
        for (line in generateSequence { source.readUtf8Line() }) {
            if (firstToken == null && "\"chunk\"" in line) firstToken = arrival.elapsedNow()
            if ("\"failed\"" in line) error = line
        }
        return outcome(planned, error, firstToken, arrival)
    }

    private fun outcome(
        planned: PlannedRequest,
        error: String?,
        firstToken: Duration?,
        arrival: ComparableTimeMark
    ) = CallOutcome(
        planned.number,
        planned.promptTokens,
        error,
        firstToken,
        emptyList(),
        arrival.elapsedNow()
    )
}
