/*
 * Peers that send bytes without end in the place of a message. Guards against memory that grows
 * with them, and against requests that wait for their end.
 */
package org.gypsumroute.gateway.endpoints

import java.util.concurrent.atomic.AtomicLong
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.CallerLimits
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.gateway.forwarding.RawConnection
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.chunk
import org.gypsumroute.gateway.forwarding.first
import org.gypsumroute.gateway.forwarding.get
import org.gypsumroute.gateway.forwarding.responseTo

class EndlessBytesTest {
    private val fixture = TrafficFixture()
    private val written = AtomicLong()

    @AfterTest
    fun close() = fixture.close()

    private fun RawConnection.writeWithoutEnd(start: String, part: String) {
        write(start)
        while (written.get() < MAX_WRITTEN) {
            write(part)
            written.addAndGet(part.length.toLong())
        }
    }

    private fun outcomeOf(start: String, part: String, streaming: Boolean): AttemptOutcome {
        written.set(0)
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.writeWithoutEnd(start, part)
        }
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, streaming)
        val event = generateSequence { fixture.nextEvent<ForwardEvent>() }
            .first { it !is ForwardEvent.StreamBegun }
        return assertIs<ForwardEvent.AttemptEnded>(event, start).outcome
    }

    private val signed = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n"
    private val chunked = "Transfer-Encoding: chunked\r\n\r\n"

    @Test
    fun `an endpoint that sends a head without end is given up`() {
        for ((start, part) in listOf(
            "HTTP/1.1 200 " to "x".repeat(500),
            "" to "y".repeat(500),
            "" to "\r\n".repeat(250) + "z",
            signed to "X-More: 1\r\n".repeat(50),
            signed + "X-Long: " to "x".repeat(500)
        )) {
            assertIs<AttemptOutcome.Lost>(outcomeOf(start, part, streaming = false), start)
            assertTrue(written.get() < MAX_WRITTEN, "$start: ${written.get()}")
        }
    }

    @Test
    fun `an endpoint that sends chunk extensions or trailers without end is given up`() {
        for ((start, part) in listOf(
            signed + chunked + "5;" to "x".repeat(500),
            signed + chunked + "5\r\nhello\r\n0\r\n" to "X-Trailer: 1\r\n".repeat(50)
        )) {
            assertIs<AttemptOutcome.Lost>(outcomeOf(start, part, streaming = false), start)
            assertTrue(written.get() < MAX_WRITTEN, "$start: ${written.get()}")
        }
    }

    @Test
    fun `a failure, an unsigned answer or an event without end is given up`() {
        val part = chunk("x".repeat(4000))
        val failure = "HTTP/1.1 500 Oops\r\nX-Id: 1\r\n" + chunked
        assertIs<AttemptOutcome.Lost>(outcomeOf(failure, part, streaming = false))
        val unsigned = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + chunked
        assertIs<AttemptOutcome.Lost>(outcomeOf(unsigned, part, streaming = false))
        assertIs<AttemptOutcome.Lost>(outcomeOf(signed + chunked, part, streaming = true))
        val begun = signed + chunked + chunk("id: 1\ndata: a\n\n")
        assertIs<AttemptOutcome.Broken>(outcomeOf(begun, part, streaming = true))
        assertTrue(written.get() < MAX_WRITTEN, "${written.get()}")
    }

    @Test
    fun `bytes without end after an answer close their connection and nothing else`() {
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.writeWithoutEnd(responseTo("1"), "x".repeat(500))
        }
        val caller = fixture.call(get("1"))
        fixture.send(fixture.nextEvent(), endpoint.address)
        assertTrue(caller.readMessage().endsWith("hello"))
        fixture.nextEvent<ForwardEvent.AttemptEnded>()
        val sound = fixture.endpoint {
            it.readMessage()
            it.write(responseTo("2"))
        }
        caller.write(get("2"))
        fixture.send(fixture.nextEvent(), sound.address)
        assertContains(caller.readMessage(), "X-Id: 2")
        fixture.nextEvent<ForwardEvent.AttemptEnded>()
        assertTrue(written.get() < MAX_WRITTEN, "${written.get()}")
    }

    @Test
    fun `answers to other requests without end are reported as silence`() {
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.writeWithoutEnd("", responseTo("other").repeat(20))
        }
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, firstByteLimit = 100.milliseconds)
        assertIs<ForwardEvent.AttemptStalled>(fixture.nextEvent())
    }

    @Test
    fun `a caller that sends without end is refused`() {
        fixture.setCallerLimits(CallerLimits(4096, 10_000, 2.seconds, 2.seconds))
        val post = "POST /a/ HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\n"
        for ((start, part) in listOf(
            "GET /" to "x".repeat(500),
            post to "X-More: 1\r\n".repeat(50),
            post + chunked + "5;" to "x".repeat(500),
            post + chunked + "5\r\nhello\r\n0\r\n" to "X-Trailer: 1\r\n".repeat(50),
            post + chunked to chunk("x".repeat(500))
        )) {
            written.set(0)
            val caller = fixture.call("")
            runCatching { caller.writeWithoutEnd(start, part) }
            val rejected = fixture.nextEvent<ForwardEvent.Rejected>().failure.kind
            assertTrue(rejected in refusals, "$start: $rejected")
        }
    }

    private val refusals =
        setOf(ErrorKind.HEADERS_TOO_LARGE, ErrorKind.MALFORMED_REQUEST, ErrorKind.BODY_TOO_LARGE)

    private companion object {
        /** Above the buffers of both sockets, so that the gateway must have stopped reading. */
        const val MAX_WRITTEN = 64L * 1024 * 1024
    }
}
