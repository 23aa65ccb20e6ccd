/*
 * Limits on callers' requests, and the responses to requests that violate them.
 */
package org.gypsumroute.gateway.callers

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.CallerLimits
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Event
import org.gypsumroute.api.Failure
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.first
import org.gypsumroute.gateway.forwarding.get

class CallerConnectionTest {
    private val fixture = TrafficFixture()
    private val strictLimits = CallerLimits(1024, 1000, 200.milliseconds, 400.milliseconds)

    @AfterTest
    fun close() = fixture.close()

    private fun refuse(arrived: ForwardEvent.Arrived) = fixture.execute(
        ForwardEffect.Refuse(
            arrived.request,
            Failure(ErrorKind.OVERLOADED, "full", retryAfter = 250.milliseconds)
        )
    )

    @Test
    fun `a refusal contains the error code, the run state and the time to retry after`() {
        val caller = fixture.call(get("1"))
        refuse(fixture.nextEvent())
        val response = caller.readMessage()
        assertTrue(response.startsWith("HTTP/1.1 503 "), response)
        assertContains(response.lowercase(), "retry-after: 0.25\r\n")
        assertContains(response, "\"error\":\"overloaded\"")
        assertContains(response, "\"run\":\"not_run\"")
    }

    @Test
    fun `pipelined requests are answered in order`() {
        val caller = fixture.call(get("1") + get("2"))
        val first = fixture.nextEvent<ForwardEvent.Arrived>()
        assertTrue(fixture.hasNoEvent())
        refuse(first)
        caller.readMessage()
        refuse(fixture.nextEvent())
        caller.readMessage()
    }

    /** Guards against a long pipelined body that ends the request before it without an answer. */
    @Test
    fun `a pipelined request with a long body waits until the request before it is answered`() {
        val caller = fixture.call(get("1"))
        val first = fixture.nextEvent<ForwardEvent.Arrived>()
        val head = "POST /a/ HTTP/1.1\r\nHost: a\r\nX-Id: 2\r\nContent-Length: $LONG_BODY_BYTES"
        val writer = thread { caller.write("$head\r\n\r\n" + "x".repeat(LONG_BODY_BYTES)) }
        assertTrue(fixture.hasNoEvent(500.milliseconds))
        refuse(first)
        caller.readMessage()
        val second = fixture.nextEvent<ForwardEvent.Arrived>()
        assertEquals(LONG_BODY_BYTES.toLong(), second.bodyBytes.count)
        refuse(second)
        caller.readMessage()
        writer.join()
    }

    /** Guards against pipelined requests that fill the memory, or are dropped without a word. */
    @Test
    fun `pipelined requests that do not fit are refused behind the ones that do`() {
        fixture.setCallerLimits(strictLimits)
        val caller = fixture.call(get("0"))
        refuse(fixture.nextEvent())
        caller.readMessage()
        caller.write(get("1") + get("2").repeat(100))
        var served = 0
        while (true) {
            val arrived = fixture.nextEvent<Event>() as? ForwardEvent.Arrived ?: break
            served++
            refuse(arrived)
            assertContains(caller.readMessage(), "full")
        }
        assertTrue(served in 2..20, "$served")
        val last = caller.readMessage()
        assertTrue(last.startsWith("HTTP/1.1 503 "), last)
        assertContains(last.lowercase(), "connection: close")
        assertEquals("", caller.readAll())
    }

    @Test
    fun `oversized headers and bodies are refused`() {
        fixture.setCallerLimits(strictLimits)
        val headers = fixture.call(get("1", extraHeaders = "X-Long: ${"x".repeat(2000)}\r\n"))
        assertTrue(headers.readMessage().startsWith("HTTP/1.1 431 "))
        val oversized = fixture.call("POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n")
        assertTrue(oversized.readMessage().startsWith("HTTP/1.1 413 "))
        val chunks = fixture.call(
            "POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
                "7d0\r\n${"x".repeat(2000)}\r\n"
        )
        assertTrue(chunks.readMessage().startsWith("HTTP/1.1 413 "))
    }

    @Test
    fun `headers and bodies that do not arrive in time are refused as incomplete`() {
        fixture.setCallerLimits(strictLimits)
        val headers = fixture.call("GET /a/ HTTP/1.1\r\nHos")
        assertTrue(headers.readMessage().startsWith("HTTP/1.1 408 "))
        val body = fixture.call("POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc")
        assertTrue(body.readMessage().startsWith("HTTP/1.1 408 "))
    }

    @Test
    fun `an idle connection is closed after the idle timeout and not before`() {
        fixture.setCallerLimits(strictLimits)
        val caller = fixture.call(get("1"))
        refuse(fixture.nextEvent())
        caller.readMessage()
        Thread.sleep(300)
        caller.write(get("2"))
        refuse(fixture.nextEvent())
        caller.readMessage()
        assertEquals("", caller.readAll())
    }

    @Test
    fun `input that is not HTTP is refused`() {
        for (text in listOf("nonsense\r\n\r\n", "GET /a b HTTP/1.1\r\n\r\n")) {
            val response = fixture.call(text).readMessage()
            assertTrue(response.startsWith("HTTP/1.1 400 "), response)
        }
    }

    /**
     * Guards against request smuggling: with two different lengths, a second request can be hidden
     * in the body of the first.
     */
    @Test
    fun `a request with two different lengths is refused`() {
        val caller = fixture.call(
            "POST /a/ HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\nContent-Length: 3\r\n" +
                "Content-Length: 40\r\n\r\nabcGET /b/ HTTP/1.1\r\nHost: a\r\n\r\n"
        )
        assertTrue(caller.readMessage().startsWith("HTTP/1.1 400 "))
    }

    @Test
    fun `a caller that expects 100 Continue receives it before it sends the body`() {
        val caller = fixture.call(
            "POST /a/ HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\nContent-Length: 2\r\n" +
                "Expect: 100-continue\r\n\r\n"
        )
        assertTrue(caller.readTo("\r\n\r\n").startsWith("HTTP/1.1 100 "))
        caller.write("hi")
        assertEquals(2, fixture.nextEvent<ForwardEvent.Arrived>().bodyBytes.count)
    }

    @Test
    fun `while draining, responses close their connections and open requests are served`() {
        val caller = fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.traffic.drain()
        val late = fixture.call(get("2"))
        refuse(fixture.nextEvent())
        assertContains(late.readMessage().lowercase(), "connection: close")
        assertEquals("", late.readAll())
        refuse(arrived)
        assertContains(caller.readMessage().lowercase(), "connection: close")
    }

    /** Guards against requests that a planned stop cuts off while they arrive. */
    @Test
    fun `a process ends only after the requests that were arriving have their answers`() {
        val idle = fixture.call("")
        val caller = fixture.call("POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab")
        assertTrue(fixture.hasNoEvent())
        val ended = CountDownLatch(1)
        fixture.traffic.drain()
        fixture.traffic.whenCallersServed(5.seconds) { ended.countDown() }
        assertEquals("", idle.readAll())
        assertFalse(ended.await(200, TimeUnit.MILLISECONDS))
        caller.write("cd")
        refuse(fixture.nextEvent())
        assertContains(caller.readMessage().lowercase(), "connection: close")
        assertTrue(ended.await(2, TimeUnit.SECONDS))
    }

    @Test
    fun `a caller that never completes its request delays the end only up to the limit`() {
        fixture.call("POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab")
        assertTrue(fixture.hasNoEvent())
        val ended = CountDownLatch(1)
        fixture.traffic.whenCallersServed(100.milliseconds) { ended.countDown() }
        assertTrue(ended.await(2, TimeUnit.SECONDS))
    }

    @Test
    fun `the connection of a caller without keep-alive is closed after the response`() {
        val caller = fixture.call(get("1", extraHeaders = "Connection: close\r\n"))
        refuse(fixture.nextEvent())
        assertContains(caller.readMessage().lowercase(), "connection: close")
        assertEquals("", caller.readAll())
    }

    /** Guards against running out of memory when many large bodies arrive at the same time. */
    @Test
    fun `bodies that exceed the memory budget are refused until others are released`() {
        fixture.setCallerLimits(
            strictLimits.copy(maxBodyBytes = BODY_BYTES, idleTimeout = 5.seconds)
        )
        val head = "POST /a/ HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\nContent-Length: $BODY_BYTES\r\n\r\n"
        val arrived = List(MAX_BODIES) {
            fixture.call(head + "x".repeat(BODY_BYTES))
            fixture.nextEvent<ForwardEvent.Arrived>()
        }
        assertTrue(fixture.call(head).readMessage().startsWith("HTTP/1.1 503 "))
        fixture.nextEvent<ForwardEvent.Rejected>()
        refuse(arrived.first())
        fixture.call(head + "x".repeat(BODY_BYTES))
        fixture.nextEvent<ForwardEvent.Arrived>()
    }

    private companion object {
        const val BODY_BYTES = 8 * 1024 * 1024
        const val MAX_BODIES = 4

        /** More than the connection keeps of the requests that wait. */
        const val LONG_BODY_BYTES = 4_000_000
    }
}
