/*
 * HTTP calls to status pages and to the test controls of stand-ins.
 */
package org.gypsumroute.measure

import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.TimeSource
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody

internal object Http {
    private val client = OkHttpClient.Builder().callTimeout(5, TimeUnit.SECONDS).build()

    /** Body of a successful answer; null after an error status or a failed connection. */
    fun get(url: String): String? = text(Request.Builder().url(url).build())

    fun post(url: String, body: String = ""): String =
        text(Request.Builder().url(url).post(body.toRequestBody()).build())
            ?: error("POST $url failed")

    private fun text(request: Request): String? = try {
        client.newCall(request).execute().use { response ->
            response.body.string().takeIf { response.isSuccessful }
        }
    } catch (_: IOException) {
        null
    }
}

/** Checks every 50 ms whether [reached] holds; throws if it does not hold within [limit]. */
internal fun awaitUntil(what: String, limit: Duration, reached: () -> Boolean) {
    val start = TimeSource.Monotonic.markNow()
    while (!reached()) {
        check(start.elapsedNow() < limit) { "$what: not reached within $limit" }
        Thread.sleep(50)
    }
}
