/*
 * Streams of bytes that are no event: blank lines, comments, and fields without data. Guards
 * against attempts that such bytes keep open for as long as they come, and against streams that
 * are given up because their events are far apart.
 */
package org.gypsumroute.gateway.endpoints

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.gateway.forwarding.RawConnection
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.chunk
import org.gypsumroute.gateway.forwarding.first
import org.gypsumroute.gateway.forwarding.get
import org.gypsumroute.gateway.forwarding.streamHeadFor

class EventlessStreamTest {
    private val firstEvent = chunk("id: 1\ndata: a\n\n")
    private val eventless =
        listOf(
            "\n\n",
            "\r\n\r\n",
            ": a\n\n",
            "event: a\n\n",
            "id: 2\n\n",
            "retry: 9\n\n",
            "datum\n\n"
        )

    private class Stream(
        val fixture: TrafficFixture,
        gapLimit: Duration = 5.seconds,
        firstByteLimit: Duration = 5.seconds,
        script: (RawConnection) -> Unit
    ) {
        private val endpoint = fixture.endpoint {
            it.readMessage()
            it.write(streamHeadFor("1"))
            script(it)
        }
        val caller = fixture.call(get("1"))

        init {
            fixture.send(
                fixture.nextEvent(),
                endpoint.address,
                streaming = true,
                firstByteLimit = firstByteLimit,
                gapLimit = gapLimit
            )
        }
    }

    /** Runs [check] for each text with traffic of its own, which no earlier stream goes on in. */
    private fun forEachText(check: (TrafficFixture, String) -> Unit) =
        eventless.forEach { text -> TrafficFixture().use { check(it, text) } }

    private fun RawConnection.writeSlowly(text: String) = repeat(PARTS) {
        write(chunk(text))
        Thread.sleep(PAUSE.inWholeMilliseconds)
    }

    private fun RawConnection.writeWithoutEnd(text: String) {
        val part = chunk(text).repeat(100)
        var written = 0L
        while (written < MAX_WRITTEN) {
            write(part)
            written += part.length
        }
    }

    /** Each such block restarted the time limit, so that the attempt was never replaced. */
    @Test
    fun `a stream that sends no event within its limit is reported as silent`() =
        forEachText { fixture, text ->
            Stream(fixture, gapLimit = 200.milliseconds) {
                it.write(firstEvent)
                it.writeSlowly(text)
            }
            assertIs<ForwardEvent.StreamBegun>(fixture.nextEvent(), text)
            assertIs<ForwardEvent.AttemptStalled>(fixture.nextEvent(), text)
        }

    /** The caller got the head of an answer whose attempt could not be replaced any more. */
    @Test
    fun `a stream that sends no event at all does not begin an answer`() =
        forEachText { fixture, text ->
            Stream(fixture, firstByteLimit = 200.milliseconds) { it.writeSlowly(text) }
            assertIs<ForwardEvent.AttemptStalled>(fixture.nextEvent(), text)
        }

    /** Such streams were limited by nothing but the time of their request. */
    @Test
    fun `a stream that sends bytes without end and no event is given up`() =
        forEachText { fixture, text ->
            Stream(fixture) { it.writeWithoutEnd(text) }
            val first = fixture.nextEvent<ForwardEvent.AttemptEnded>()
            assertIs<AttemptOutcome.Lost>(first.outcome, text)
            Stream(fixture) {
                it.write(firstEvent)
                it.writeWithoutEnd(text)
            }
            assertIs<ForwardEvent.StreamBegun>(fixture.nextEvent(), text)
            val second = fixture.nextEvent<ForwardEvent.AttemptEnded>()
            assertIs<AttemptOutcome.Broken>(second.outcome, text)
        }

    /** Guards against a time limit that ends sound streams too. */
    @Test
    fun `a stream of events that are far apart goes on, with the comments between them`() {
        TrafficFixture().use { fixture ->
            val numbers = 1..6
            val events = numbers.map { "id: $it\ndata: a\n\n" }
            val stream = Stream(fixture, gapLimit = 400.milliseconds) { endpoint ->
                for (event in events) {
                    endpoint.write(chunk(event))
                    Thread.sleep(100)
                    endpoint.write(chunk(": still there\n\n"))
                    Thread.sleep(100)
                }
                endpoint.write("0\r\n\r\n")
            }
            val received = stream.caller.readTo("\r\n0\r\n\r\n")
            assertTrue(events.all { it in received }, received)
            assertEquals(numbers.count(), received.split(": still there").size - 1)
            assertIs<ForwardEvent.StreamBegun>(fixture.nextEvent())
            val end = fixture.nextEvent<ForwardEvent.AttemptEnded>()
            assertIs<AttemptOutcome.Completed>(end.outcome)
        }
    }

    /** Guards against comments that are kept until the next event. */
    @Test
    fun `comments reach the caller while the next event is awaited`() {
        TrafficFixture().use { fixture ->
            val stream = Stream(fixture) {
                it.write(firstEvent)
                Thread.sleep(100)
                it.write(chunk(": still there\n\n"))
            }
            val received = stream.caller.readTo(": still there\n\n")
            assertTrue(received.endsWith(": still there\n\n"), received)
        }
    }

    private companion object {
        /** So many parts go on for longer than the fixture waits for an event. */
        const val PARTS = 400
        val PAUSE = 20.milliseconds

        /** Above the buffers of both sockets, so that the gateway must have stopped reading. */
        const val MAX_WRITTEN = 64L * 1024 * 1024
    }
}
