/*
 * Forwarding of event streams from endpoints to callers.
 */
package org.gypsumroute.gateway.forwarding

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent

class StreamingTest {
    private val fixture = TrafficFixture()

    @AfterTest
    fun close() = fixture.close()

    /** A stream whose request the endpoint has received and not answered. */
    private inner class OpenStream {
        private val endpoint = fixture.endpoint { }
        val caller = fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        val upstream: RawConnection

        init {
            fixture.send(arrived, endpoint.address, streaming = true)
            upstream = endpoint.connections.take()
            upstream.readMessage()
        }
    }

    @Test
    fun `events are forwarded as they arrive`() {
        val stream = OpenStream()
        val caller = stream.caller
        val upstream = stream.upstream
        upstream.write(streamHeadFor("1") + chunk("id: 1\ndata: a\n\n"))
        assertContains(caller.readTo("data: a\n\n"), "X-Signature: s")
        assertIs<ForwardEvent.StreamBegun>(fixture.nextEvent())
        upstream.write(chunk("id: 2\ndata: b\n\nid: 3\nda"))
        caller.readTo("data: b\n\n")
        upstream.write(chunk("ta: c\n\n") + "0\r\n\r\n")
        assertTrue(caller.readTo("\r\n0\r\n\r\n").endsWith("data: c\n\n\r\n0\r\n\r\n"))
        assertIs<AttemptOutcome.Completed>(fixture.awaitAttemptEnd(stream.arrived.request).outcome)
    }

    /**
     * Guards against an event that is joined from parts of two attempts, and against events that
     * are missing or duplicated.
     */
    @Test
    fun `a stream that breaks inside an event is resumed after the last complete event`() {
        val first = fixture.endpoint {
            it.readMessage()
            it.write(streamHeadFor("1") + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b"))
            it.close()
        }
        val second = fixture.endpoint { }
        val caller = fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, first.address, streaming = true)
        assertIs<ForwardEvent.StreamBegun>(fixture.nextEvent())
        assertIs<AttemptOutcome.Broken>(fixture.awaitAttemptEnd(arrived.request).outcome)
        fixture.send(arrived, second.address, streaming = true)
        val upstream = second.connections.take()
        assertContains(upstream.readMessage(), "Last-Event-Id: 1\r\n")
        upstream.write(streamHeadFor("1") + chunk("id: 2\ndata: c\n\n") + "0\r\n\r\n")
        val received = caller.readTo("\r\n0\r\n\r\n")
        assertFalse("data: b" in received, received)
        assertEquals(1, Regex("HTTP/1.1").findAll(received).count())
        assertTrue(received.indexOf("data: a") < received.indexOf("data: c"))
    }

    @Test
    fun `a stream that ends inside an event is not complete`() {
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.write(streamHeadFor("1") + chunk("id: 1\ndata: a\n\nid: 2\nda") + "0\r\n\r\n")
        }
        val caller = fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, streaming = true)
        assertIs<ForwardEvent.StreamBegun>(fixture.nextEvent())
        assertIs<AttemptOutcome.Broken>(fixture.awaitAttemptEnd(arrived.request).outcome)
        fixture.execute(ForwardEffect.Cut(arrived.request))
        assertFalse(caller.readAll().orEmpty().contains("0\r\n\r\n"))
    }

    @Test
    fun `a stream that breaks before its first event counts as lost`() {
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.write(streamHeadFor("1") + chunk("id: 1\nda"))
            it.close()
        }
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, streaming = true)
        assertIs<AttemptOutcome.Lost>(fixture.awaitAttemptEnd(arrived.request).outcome)
    }

    /** Each chunk was a write to the caller's socket, which took the time of all connections. */
    @Test
    fun `events that arrive together are passed on together`() {
        val events = (1..EVENTS_AT_ONCE).map { "id: $it\ndata: a\n\n" }
        val stream = OpenStream()
        val caller = stream.caller
        val upstream = stream.upstream
        fixture.whileLoopIsOccupied {
            upstream.write(streamHeadFor("1") + events.joinToString("") { chunk(it) } + "0\r\n\r\n")
        }
        val received = caller.readTo("\r\n0\r\n\r\n")
        assertTrue(events.all { it in received }, received)
        val parts = Regex("\r\n[0-9a-f]+\r\n").findAll(received).count()
        assertTrue(parts < EVENTS_AT_ONCE / 20, "$parts parts")
    }

    /** Guards against sound streams that are given up because others had long events before. */
    @Test
    fun `events that were passed on take no memory for answers`() = TrafficFixture(SMALL_HEAP).use {
        val event = "id: 1\ndata: ${"x".repeat(LONG_EVENT)}\n\n"
        repeat(STREAMS) { _ ->
            val endpoint = it.endpoint { connection ->
                connection.readMessage()
                connection.write(streamHeadFor("1") + chunk(event))
            }
            val caller = it.call(get("1"))
            it.send(it.nextEvent(), endpoint.address, streaming = true)
            caller.readTo("x\n\n")
            assertIs<ForwardEvent.StreamBegun>(it.nextEvent())
        }
        assertTrue(it.hasNoEvent())
    }

    /** Guards against unbounded buffering for a caller that does not read. */
    @Test
    fun `a caller that does not read causes backpressure on the endpoint`() {
        val event = "id: 1\ndata: ${"x".repeat(60_000)}\n\n"
        var written = 0
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.write(streamHeadFor("1"))
            repeat(1000) { _ ->
                it.write(chunk(event))
                written++
            }
        }
        fixture.call(get("1"))
        fixture.send(fixture.nextEvent(), endpoint.address, streaming = true)
        Thread.sleep(1500)
        val before = written
        Thread.sleep(500)
        assertEquals(before, written)
        assertTrue(written < 500, "$written")
    }

    private companion object {
        const val EVENTS_AT_ONCE = 1000

        /** Leaves less for answers than the events of all streams take together. */
        const val SMALL_HEAP = 4L * 1024 * 1024
        const val LONG_EVENT = 30_000
        const val STREAMS = 40
    }
}
