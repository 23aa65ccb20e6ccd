/*
 * Which headers of a message are forwarded. Guards against hop-by-hop headers that reach the other
 * side, and against heads whose cost grows with the product of two of their counts.
 */
package org.gypsumroute.gateway.forwarding

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.measureTime

class ConnectionHeadersTest {
    @Test
    fun `hop-by-hop headers and those that Connection lists are not forwarded`() {
        val headers = DefaultHttpHeaders()
            .add("Connection", "keep-alive, X-One")
            .add("connection", "x-TWO ,x-three")
            .add("X-One", "1")
            .add("x-two", "2")
            .add("X-Three", "3")
            .add("X-Four", "4")
            .add("TE", "trailers")
            .add("X-Key", "k")
        val forwarded = forwardedHeaders(headers, excluded = setOf("x-key"))
        assertEquals(listOf("X-Four"), forwarded.names().toList())
    }

    /** Each line was compared with each option, which held up the event loop (review/9). */
    @Test
    fun `many lines beside many options of Connection cost no more than their sum`() {
        val together = shortestTimeOf(headersWith(LINES, OPTIONS))
        val apart = shortestTimeOf(headersWith(LINES, 1)) + shortestTimeOf(headersWith(1, OPTIONS))
        assertTrue(together < apart * MAX_COST_RATIO, "$together in place of $apart")
    }

    private fun headersWith(lines: Int, options: Int): HttpHeaders {
        val headers = DefaultHttpHeaders()
        repeat(lines) { headers.add("b", "") }
        return headers.add("Connection", List(options) { "a" }.joinToString(","))
    }

    private fun shortestTimeOf(headers: HttpHeaders): Duration =
        (1..RUNS).minOf { measureTime { forwardedHeaders(headers) } }

    private companion object {
        /** About as many as fit into a head of 16 KiB. */
        const val LINES = 1950
        const val OPTIONS = 3900
        const val RUNS = 20
        const val MAX_COST_RATIO = 10
    }
}
