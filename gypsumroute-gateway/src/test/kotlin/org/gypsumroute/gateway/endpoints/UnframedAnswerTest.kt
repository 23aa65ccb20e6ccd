/*
 * Answers that have neither a length nor chunks and end with their connection. Guards against
 * answers that broke off and count as complete, and against complete ones that count as broken.
 */
package org.gypsumroute.gateway.endpoints

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.gateway.forwarding.RawConnection
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.first
import org.gypsumroute.gateway.forwarding.get

class UnframedAnswerTest {
    private val fixture = TrafficFixture()
    private val heads = listOf("HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n")
        .flatMap { listOf(it, it + "Connection: close\r\n") }
        .map { "${it}X-Id: 1\r\nX-Signature: s\r\n" }
    private val streamHeads = heads.map { "${it}Content-Type: text/event-stream\r\n\r\n" }

    @AfterTest
    fun close() = fixture.close()

    private inner class Stream(
        head: String,
        parts: List<String>,
        version: String = "HTTP/1.1",
        end: (RawConnection) -> Unit = { it.close() }
    ) {
        val caller = fixture.call("GET /a HTTP/1.1\r\nX-Id: 1\r\n\r\n".replace("HTTP/1.1", version))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        val outcome: AttemptOutcome

        init {
            val endpoint = fixture.endpoint {
                it.readMessage()
                it.write(head)
                for (part in parts) {
                    it.write(part)
                    Thread.sleep(30)
                }
                end(it)
            }
            fixture.send(arrived, endpoint.address, streaming = true)
            assertIs<ForwardEvent.StreamBegun>(fixture.nextEvent())
            outcome = fixture.awaitAttemptEnd(arrived.request).outcome
        }
    }

    @Test
    fun `a stream that ends between two events is complete`() {
        for (head in streamHeads) {
            val stream = Stream(head, listOf("id: 1\ndata: a\n\nid: 2\nda", "ta: b\n", "\n"))
            assertIs<AttemptOutcome.Completed>(stream.outcome, head)
            val received = stream.caller.readTo("\r\n0\r\n\r\n")
            assertTrue(received.endsWith("data: b\n\n\r\n0\r\n\r\n"), received)
        }
    }

    /** The caller got an empty answer as a success when the endpoint crashed before writing it. */
    @Test
    fun `a stream that ends before its first event has broken off`() {
        for (head in streamHeads) {
            val endpoint = fixture.endpoint {
                it.readMessage()
                it.write(head)
                it.close()
            }
            fixture.call("GET /a HTTP/1.1\r\nX-Id: 1\r\n\r\n")
            val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
            fixture.send(arrived, endpoint.address, streaming = true)
            val outcome = fixture.awaitAttemptEnd(arrived.request).outcome
            assertTrue(assertIs<AttemptOutcome.Lost>(outcome, head).connectionLost, head)
        }
    }

    @Test
    fun `a stream that ends inside an event has broken off`() {
        val ends = listOf("id: 2\n", "id: 2\ndata: b\n", "d", ": note", "id: 2\r\ndata: b\r\n\r")
        for (head in streamHeads) {
            for (end in ends) {
                val stream = Stream(head, listOf("id: 1\ndata: a\n\n", end))
                val outcome = assertIs<AttemptOutcome.Broken>(stream.outcome, "$head$end")
                // An endpoint that crashes closes its connection in the same way.
                assertTrue(outcome.connectionLost, "$head$end")
                fixture.execute(ForwardEffect.Cut(stream.arrived.request))
                val received = stream.caller.readAll().orEmpty()
                assertTrue(received.endsWith("data: a\n\n\r\n"), received)
            }
        }
    }

    @Test
    fun `a stream whose connection is reset has broken off wherever it was`() {
        for (end in listOf("id: 2\ndata: b\n\n", "id: 2\nda")) {
            val stream = Stream(streamHeads.first(), listOf("id: 1\ndata: a\n\n", end)) {
                it.reset()
            }
            assertIs<AttemptOutcome.Broken>(stream.outcome, end)
        }
    }

    /** Blank lines between events end no event, and may arrive in a read of their own. */
    @Test
    fun `a stream that ends with more blank lines is complete`() {
        for (blank in listOf("\n", "\r\n", "\n\n", "\r\n\r\n")) {
            val stream = Stream(streamHeads.first(), listOf("id: 1\ndata: a\n\n", blank))
            assertIs<AttemptOutcome.Completed>(stream.outcome, blank)
            val received = stream.caller.readTo("\r\n0\r\n\r\n")
            assertTrue(received.endsWith("\r\n$blank\r\n0\r\n\r\n"), received)
        }
    }

    @Test
    fun `a stream that broke off is resumed after its last complete event`() {
        val stream = Stream(streamHeads.first(), listOf("id: 1\ndata: a\n\nid: 2\nda"))
        val second = fixture.endpoint { }
        fixture.send(stream.arrived, second.address, streaming = true)
        val upstream = second.connections.take()
        assertContains(upstream.readMessage(), "Last-Event-Id: 1\r\n")
        upstream.write(streamHeads.first() + "id: 2\ndata: c\n\n")
        upstream.close()
        val received = stream.caller.readTo("\r\n0\r\n\r\n")
        assertFalse("data: b" in received, received)
        assertTrue(received.endsWith("data: c\n\n\r\n0\r\n\r\n"), received)
    }

    /** Such a caller cannot read chunks: its answer ends with its connection too. */
    @Test
    fun `a caller of an older version sees the end of its stream or a reset`() {
        val complete = Stream(streamHeads.first(), listOf("id: 1\ndata: a\n\n"), "HTTP/1.0")
        val received = complete.caller.readAll().orEmpty()
        assertTrue(received.endsWith("\r\n\r\nid: 1\ndata: a\n\n"), received)
        assertFalse("chunked" in received, received)
        val broken = Stream(streamHeads.first(), listOf("id: 1\ndata: a\n\nid"), "HTTP/1.0")
        broken.caller.readTo("data: a\n\n")
        fixture.execute(ForwardEffect.Cut(broken.arrived.request))
        assertNull(broken.caller.readAll())
    }

    @Test
    fun `a whole answer ends with its connection, and a reset breaks it off`() {
        for (head in heads) {
            for (reset in listOf(false, true)) {
                val endpoint = fixture.endpoint {
                    it.readMessage()
                    it.write("$head\r\nhello")
                    Thread.sleep(50)
                    if (reset) it.reset() else it.close()
                }
                val caller = fixture.call(get("1"))
                val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
                fixture.send(arrived, endpoint.address)
                val outcome = fixture.awaitAttemptEnd(arrived.request).outcome
                assertEquals(reset, outcome is AttemptOutcome.Lost, "$head: $outcome")
                if (!reset) assertTrue(caller.readMessage().endsWith("\r\n\r\nhello"))
            }
        }
    }

    /** Guards against answers without a body that wait for the end of their connection. */
    @Test
    fun `an answer that cannot have a body is complete without a length`() {
        for ((method, status) in listOf("HEAD" to "200 OK", "GET" to "204 No Content")) {
            val endpoint = fixture.endpoint {
                it.readMessage()
                it.write("HTTP/1.1 $status\r\nX-Id: 1\r\nX-Signature: s\r\n\r\n")
            }
            val caller = fixture.call(get("1").replace("GET", method))
            val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
            fixture.send(arrived, endpoint.address)
            val outcome = fixture.awaitAttemptEnd(arrived.request).outcome
            assertIs<AttemptOutcome.Completed>(outcome, method)
            assertContains(caller.readMessage(), "X-Signature: s")
        }
    }
}
