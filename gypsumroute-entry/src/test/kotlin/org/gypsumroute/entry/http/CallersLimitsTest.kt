/*
 * Guards against callers that make an entry hold larger headers, larger bodies or more requests
 * than its limits allow.
 */
package org.gypsumroute.entry.http

import java.io.InputStream
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.assertContains
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.Event
import org.gypsumroute.api.RequestId
import org.gypsumroute.entry.Exchanges
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

class CallersLimitsTest {
    private val scope = CoroutineScope(Dispatchers.Default)
    private val events = LinkedBlockingQueue<Event>()
    private val exchanges: Exchanges = Exchanges(::handleEvent, scope) { null }
    private var requestCount = 0
    private val http = CallersHttp(
        CallersHttpSettings(
            "127.0.0.1",
            0,
            maxBodyBytes = BODY_LIMIT,
            defaultUploadTimeout = 5.seconds,
            maxOpenRequests = 2
        ),
        exchanges,
        ::handleEvent,
        { RequestId("r${requestCount++}") },
        { emptyList() }
    )
    private val port = runBlocking { http.start() }

    @AfterEach
    fun stop() {
        http.stop()
        scope.cancel()
    }

    @Test
    fun `a header line over the limit is refused, and the port keeps serving`() {
        val line = "X-Long: ${"x".repeat(10_000)}"
        assertContains(statusLineOf("$REQUEST_HEAD$line\r\nContent-Length: 0\r\n\r\n"), "400")
        assertServes()
    }

    @Test
    fun `headers that are too large together are refused as not run`() {
        val lines = (1..400).joinToString("") { "X-Header-$it: ${"x".repeat(100)}\r\n" }
        val answer =
            responseTo("$REQUEST_HEAD${lines}Content-Length: 0\r\nConnection: close\r\n\r\n")
        assertContains(answer, " 431 ")
        assertContains(answer, "headers_too_large")
        assertContains(answer, "\"run_state\":\"not_run\"")
        assertContains(answer, "headers")
        assertServes()
    }

    @Test
    fun `a chunked body over the limit is refused before it has ended`() {
        val chunk = "400\r\n${"x".repeat(1024)}\r\n"
        val body = chunk.repeat(3)
        val answer = statusLineOf("${REQUEST_HEAD}Transfer-Encoding: chunked\r\n\r\n$body")
        assertContains(answer, "413")
        assertServes()
    }

    @Test
    fun `requests above the limit are refused as not run until an open one ends`() {
        val openSockets = List(2) {
            Socket("127.0.0.1", port).also { socket ->
                socket.getOutputStream().write(completion().toByteArray())
                assertNotNull(awaitEvent { it is CallerEvent.GenerationArrived })
            }
        }
        val answer = responseTo(completion("Connection: close\r\n"))
        assertContains(answer, " 503 ")
        assertContains(answer, "\"kind\":\"overloaded\"")
        assertContains(answer, "\"run_state\":\"not_run\"")
        openSockets.first().close()
        assertNotNull(awaitEvent { it is CallerEvent.Left })
        Socket("127.0.0.1", port).use { socket ->
            socket.getOutputStream().write(completion().toByteArray())
            assertNotNull(awaitEvent { it is CallerEvent.GenerationArrived })
        }
        openSockets.last().close()
    }

    private fun handleEvent(event: Event) {
        events.add(event)
        if (event is CallerEvent.Opened) exchanges.execute(CallerEffect.AcceptBody(event.request))
    }

    private fun assertServes() = Socket("127.0.0.1", port).use { socket ->
        socket.getOutputStream().write(completion().toByteArray())
        assertIs<CallerEvent.GenerationArrived>(
            awaitEvent { it is CallerEvent.GenerationArrived }
        )
    }

    private fun completion(headers: String = ""): String =
        "$REQUEST_HEAD${headers}Content-Length: ${BODY.length}\r\n\r\n$BODY"

    private fun statusLineOf(request: String): String =
        exchangeBytes(request) { it.bufferedReader().readLine().orEmpty() }

    /** Everything that is received until the connection ends. */
    private fun responseTo(request: String): String =
        exchangeBytes(request) { it.readBytes().decodeToString() }

    private fun exchangeBytes(request: String, read: (InputStream) -> String): String =
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = TimeUnit.SECONDS.toMillis(5).toInt()
            socket.getOutputStream().write(request.toByteArray())
            try {
                read(socket.getInputStream())
            } catch (_: SocketTimeoutException) {
                "no answer in time"
            }
        }

    private fun awaitEvent(wanted: (Event) -> Boolean): Event? {
        while (true) {
            val event = events.poll(5, TimeUnit.SECONDS) ?: return null
            if (wanted(event)) return event
        }
    }

    private companion object {
        const val BODY_LIMIT = 1000L
        const val REQUEST_HEAD = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        const val BODY = """{"model":"menu-writer","prompt":"Say hello"}"""
    }
}
