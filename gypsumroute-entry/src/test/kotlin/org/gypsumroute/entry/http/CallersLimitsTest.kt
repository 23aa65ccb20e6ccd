/*
 * Guards against callers that take more of an entry's memory or requests than the limits allow.
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
    private val seen = LinkedBlockingQueue<Event>()
    private val exchanges: Exchanges = Exchanges(::control, scope) { null }
    private var requests = 0
    private val http = CallersHttp(
        CallersHttpSettings(
            "127.0.0.1",
            0,
            maxBodyBytes = BODY_LIMIT,
            defaultUploadTimeout = 5.seconds,
            maxOpenRequests = 2
        ),
        exchanges,
        ::control,
        { RequestId("r${requests++}") },
        { emptyList() }
    )
    private val port = runBlocking { http.start() }

    @AfterEach
    fun stop() {
        http.stop()
        scope.cancel()
    }

    @Test
    fun `a header line over the limit is refused and the port goes on`() {
        val line = "X-Long: ${"x".repeat(10_000)}"
        assertContains(statusOf("$HEAD$line\r\nContent-Length: 0\r\n\r\n"), "400")
        assertServes()
    }

    @Test
    fun `headers that are too large together are refused as not run`() {
        val lines = (1..400).joinToString("") { "X-Header-$it: ${"x".repeat(100)}\r\n" }
        val answer = answerTo("$HEAD${lines}Content-Length: 0\r\nConnection: close\r\n\r\n")
        assertContains(answer, " 400 ")
        assertContains(answer, "\"run_state\":\"not_run\"")
        assertContains(answer, "headers")
        assertServes()
    }

    @Test
    fun `a chunked body over the limit is refused while it arrives`() {
        val chunk = "400\r\n${"x".repeat(1024)}\r\n"
        val body = chunk.repeat(3)
        val answer = statusOf("${HEAD}Transfer-Encoding: chunked\r\n\r\n$body")
        assertContains(answer, "413")
        assertServes()
    }

    @Test
    fun `requests beyond the limit are refused as not run until one ends`() {
        val held = List(2) {
            Socket("127.0.0.1", port).also { socket ->
                socket.getOutputStream().write(completion().toByteArray())
                assertNotNull(awaitEvent { it is CallerEvent.GenerationArrived })
            }
        }
        val answer = answerTo(completion("Connection: close\r\n"))
        assertContains(answer, " 503 ")
        assertContains(answer, "\"kind\":\"overloaded\"")
        assertContains(answer, "\"run_state\":\"not_run\"")
        held.first().close()
        assertNotNull(awaitEvent { it is CallerEvent.Left })
        Socket("127.0.0.1", port).use { socket ->
            socket.getOutputStream().write(completion().toByteArray())
            assertNotNull(awaitEvent { it is CallerEvent.GenerationArrived })
        }
        held.last().close()
    }

    private fun control(event: Event) {
        seen.add(event)
        if (event is CallerEvent.Opened) exchanges.execute(CallerEffect.AcceptBody(event.request))
    }

    private fun assertServes() = Socket("127.0.0.1", port).use { socket ->
        socket.getOutputStream().write(completion().toByteArray())
        assertIs<CallerEvent.GenerationArrived>(
            awaitEvent { it is CallerEvent.GenerationArrived }
        )
    }

    private fun completion(headers: String = ""): String =
        "$HEAD${headers}Content-Length: ${BODY.length}\r\n\r\n$BODY"

    private fun statusOf(request: String): String =
        connect(request) { it.bufferedReader().readLine().orEmpty() }

    /** The whole answer, up to the end of the connection. */
    private fun answerTo(request: String): String =
        connect(request) { it.readBytes().decodeToString() }

    private fun connect(request: String, read: (InputStream) -> String): String =
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
            val event = seen.poll(5, TimeUnit.SECONDS) ?: return null
            if (wanted(event)) return event
        }
    }

    private companion object {
        const val BODY_LIMIT = 1000L
        const val HEAD = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        const val BODY = """{"model":"menu-writer","prompt":"Say hello"}"""
    }
}
