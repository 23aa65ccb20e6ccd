/*
 * Blocking HTTP calls for the tests.
 */
package org.gypsumroute.systemtest

import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody

/** The client of all calls. It neither retries nor follows redirects. */
internal val httpClient: OkHttpClient = OkHttpClient.Builder()
    .retryOnConnectionFailure(false)
    .followRedirects(false)
    .readTimeout(READ_SECONDS, TimeUnit.SECONDS)
    .dispatcher(Dispatcher().apply { maxRequestsPerHost = maxRequests })
    .build()

internal fun httpGet(url: String): HttpAnswer = execute(Request.Builder().url(url))

internal fun httpPost(
    url: String,
    body: String = "",
    headers: Map<String, String> = emptyMap()
): HttpAnswer {
    val builder = Request.Builder().url(url).post(body.toRequestBody())
    headers.forEach { (name, value) -> builder.header(name, value) }
    return execute(builder)
}

private fun execute(builder: Request.Builder): HttpAnswer =
    httpClient.newCall(builder.build()).execute().use { HttpAnswer(it.code, it.body.string()) }

/**
 * Repeats [check] until it holds and returns the time that took; fails after [limit]. An
 * `IOException` counts as not holding.
 */
internal fun awaitUntil(what: String, limit: Duration, check: () -> Boolean): Duration {
    val start = TimeSource.Monotonic.markNow()
    while (true) {
        val holds = try {
            check()
        } catch (_: IOException) {
            false
        }
        if (holds) return start.elapsedNow()
        if (start.elapsedNow() > limit) throw AssertionError("not within $limit: $what")
        Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
    }
}

private const val READ_SECONDS = 60L
private val POLL_INTERVAL = 20.milliseconds
