/*
 * Attempts that are silent for longer than their limit. Guards against streams that are cut because
 * their endpoint is slow, and against requests that a byte now and then keeps alive.
 */
package org.gypsumroute.gateway.endpoints

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.AttemptId
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.gateway.forwarding.RawConnection
import org.gypsumroute.gateway.forwarding.StubEndpoint
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.chunk
import org.gypsumroute.gateway.forwarding.first
import org.gypsumroute.gateway.forwarding.get
import org.gypsumroute.gateway.forwarding.streamHeadFor

class StalledAttemptTest {
    private val fixture = TrafficFixture()
    private val firstEvent = streamHeadFor("1") + chunk("id: 1\ndata: a\n\n")

    @AfterTest
    fun close() = fixture.close()

    /** A stream whose first event arrived and whose next one did not within the limit. */
    private inner class StalledStream(writeFirst: String = firstEvent) {
        val endpoint = fixture.endpoint { }
        val caller = fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        val attempt = fixture.send(
            arrived,
            endpoint.address,
            streaming = true,
            gapLimit = 200.milliseconds
        )
        val connection: RawConnection = endpoint.connections.take()

        init {
            connection.readMessage()
            connection.write(writeFirst)
            caller.readTo("data: a\n\n")
            assertIs<ForwardEvent.StreamBegun>(fixture.nextEvent())
            assertEquals(attempt, fixture.nextEvent<ForwardEvent.AttemptStalled>().attempt)
        }

        fun sendToSecond(second: StubEndpoint): AttemptId =
            fixture.send(arrived, second.address, streaming = true)
    }

    @Test
    fun `a stream that pauses for longer than its limit is reported and can go on`() {
        val stream = StalledStream()
        assertEquals(stream.attempt, fixture.nextEvent<ForwardEvent.AttemptStalled>().attempt)
        stream.connection.write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
        assertContains(stream.caller.readTo("\r\n0\r\n\r\n"), "data: b")
        assertIs<AttemptOutcome.Completed>(
            fixture.awaitAttemptEnd(stream.arrived.request).outcome
        )
    }

    @Test
    fun `an endpoint that resumes a stalled stream first stops the stalled attempt`() {
        val stream = StalledStream()
        val second = fixture.endpoint { }
        val attempt = stream.sendToSecond(second)
        val resumed = second.connections.take()
        assertContains(resumed.readMessage(), "Last-Event-Id: 1\r\n")
        resumed.write(streamHeadFor("1") + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
        assertContains(stream.caller.readTo("\r\n0\r\n\r\n"), "data: b")
        assertTrue(stream.connection.isReset())
        val request = stream.arrived.request
        assertEquals(ForwardEvent.AttemptTookOver(request, attempt), nextWithoutStalls())
        assertEquals(ForwardEvent.StreamBegun(request, attempt), fixture.nextEvent())
    }

    /** Guards against an answer with events of two attempts, of which one comes twice. */
    @Test
    fun `a stalled stream that goes on first stops the attempt to resume it`() {
        val stream = StalledStream()
        val second = fixture.endpoint { }
        stream.sendToSecond(second)
        val resumed = second.connections.take()
        resumed.readMessage()
        stream.connection.write(chunk("id: 2\ndata: b\n\n"))
        stream.caller.readTo("data: b\n\n")
        assertTrue(resumed.isReset())
        stream.connection.write(chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n")
        assertContains(stream.caller.readTo("\r\n0\r\n\r\n"), "data: c")
        val took = ForwardEvent.AttemptTookOver(stream.arrived.request, stream.attempt)
        assertEquals(took, nextWithoutStalls())
    }

    @Test
    fun `a stream that went on before it could be resumed is not sent again`() {
        val stream = StalledStream()
        stream.connection.write(chunk("id: 2\ndata: b\n\n"))
        stream.caller.readTo("data: b\n\n")
        val second = fixture.endpoint { }
        stream.sendToSecond(second)
        val took = ForwardEvent.AttemptTookOver(stream.arrived.request, stream.attempt)
        assertEquals(took, nextWithoutStalls())
        assertTrue(second.connections.isEmpty())
    }

    @Test
    fun `a refusal to resume a stalled stream leaves the stream open`() {
        val stream = StalledStream()
        val second = fixture.endpoint {
            it.readMessage()
            it.write("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        }
        stream.sendToSecond(second)
        assertIs<AttemptOutcome.NotRun>(
            assertIs<ForwardEvent.AttemptEnded>(nextWithoutStalls()).outcome
        )
        stream.connection.write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
        assertContains(stream.caller.readTo("\r\n0\r\n\r\n"), "data: b")
    }

    @Test
    fun `bytes that complete no event do not keep a stream from being reported`() {
        val stream = StalledStream(firstEvent + chunk("id: 2\n"))
        repeat(6) {
            stream.connection.write(chunk(":"))
            Thread.sleep(50)
        }
        assertIs<ForwardEvent.AttemptStalled>(fixture.nextEvent())
    }

    @Test
    fun `an endpoint without a first byte is reported and closed only on request`() {
        val endpoint = fixture.endpoint { it.readAll() }
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        val attempt =
            fixture.send(arrived, endpoint.address, firstByteLimit = 100.milliseconds)
        assertEquals(attempt, fixture.nextEvent<ForwardEvent.AttemptStalled>().attempt)
        fixture.execute(ForwardEffect.Abandon(arrived.request, attempt))
        assertTrue(endpoint.connections.take().isReset())
    }

    /** Guards against one limit for all of a long answer, however fast it comes. */
    @Test
    fun `a whole answer that keeps arriving is not reported, one that trickles is`() {
        for ((part, stalls) in listOf("x".repeat(2000) to false, "x" to true)) {
            val endpoint = fixture.endpoint {
                it.readMessage()
                it.write(
                    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n" +
                        "Content-Length: ${part.length * PARTS}\r\n\r\n"
                )
                repeat(PARTS) { _ ->
                    it.write(part)
                    Thread.sleep(50)
                }
            }
            fixture.call(get("1"))
            val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
            fixture.send(arrived, endpoint.address, gapLimit = 150.milliseconds)
            assertEquals(stalls, fixture.nextEvent<ForwardEvent>() is ForwardEvent.AttemptStalled)
            if (stalls) assertIs<ForwardEvent.AttemptEnded>(nextWithoutStalls())
        }
    }

    /** Guards against a stream that is started again elsewhere because its caller reads slowly. */
    @Test
    fun `a stream whose caller does not read is not reported`() {
        val event = "id: 1\ndata: ${"x".repeat(60_000)}\n\n"
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.write(streamHeadFor("1"))
            repeat(1000) { _ -> it.write(chunk(event)) }
        }
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, streaming = true, gapLimit = 300.milliseconds)
        assertIs<ForwardEvent.StreamBegun>(fixture.nextEvent())
        assertTrue(fixture.hasNoEvent(1500.milliseconds))
    }

    private fun nextWithoutStalls(): ForwardEvent =
        generateSequence { fixture.nextEvent<ForwardEvent>() }
            .first { it !is ForwardEvent.AttemptStalled }

    private companion object {
        const val PARTS = 12
    }
}
