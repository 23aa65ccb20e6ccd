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
        var first: Duration? = null
        var error: String? = null
        try {
            client.newCall(request).execute().use { response ->
                val source = response.body.source()
                if (!response.isSuccessful) error = "status ${response.code}"
                while (true) {
                    val line = source.readUtf8Line() ?: break
                    if (first == null && "\"chunk\"" in line) first = arrival.elapsedNow()
                    if ("\"failed\"" in line) error = line
                }
            }
        } catch (failure: IOException) {
            error = "connection: ${failure.message}"
        }
        return CallOutcome(
            planned.number,
            planned.promptTokens,
            error,
            first,
            emptyList(),
            arrival.elapsedNow()
        )
    }
}
