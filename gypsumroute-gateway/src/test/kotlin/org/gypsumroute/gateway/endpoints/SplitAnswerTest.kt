/*
 * Answers that arrive in two parts, split at any byte of a head, a body, a chunk or a trailer, and
 * second copies of them, with the connection kept. Guards against an answer whose meaning depends
 * on how it is cut into packets, and against a request that is answered with a copy of another's.
 */
package org.gypsumroute.gateway.endpoints

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.Event
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.RequestId
import org.gypsumroute.gateway.forwarding.RawConnection
import org.gypsumroute.gateway.forwarding.StubEndpoint
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.chunk
import org.gypsumroute.gateway.forwarding.first
import org.gypsumroute.gateway.forwarding.get
import org.gypsumroute.gateway.forwarding.responseTo
import org.gypsumroute.gateway.forwarding.streamHeadFor

class SplitAnswerTest {
    private val fixture = TrafficFixture()

    @AfterTest
    fun close() = fixture.close()

    private fun refusalOf(id: String) =
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: $id\r\n" +
            "Content-Length: 4\r\n\r\nbusy"

    private fun streamOf(id: String) =
        streamHeadFor(id) + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"

    private fun RawConnection.writeSplit(text: String, at: Int) {
        write(text.take(at))
        Thread.sleep(SEGMENT_MS)
        write(text.drop(at))
    }

    private fun awaitEnd(request: RequestId): AttemptOutcome {
        val events = generateSequence { fixture.nextEvent<Event>() }
        val ended = events.filterIsInstance<ForwardEvent.AttemptEnded>().first()
        assertEquals(request, ended.request)
        return ended.outcome
    }

    /** Sends request 1 to an endpoint that answers with [answer], split at byte [at]. */
    private fun serveSplit(answer: String, at: Int, streaming: Boolean, check: (Served) -> Unit) {
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.writeSplit(answer, at)
            it.readMessage()
            it.write(responseTo("2"))
            it.readMessage()
        }
        val caller = fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, streaming)
        check(Served(endpoint, caller, awaitEnd(arrived.request)))
        endpoint.close()
        caller.close()
    }

    private class Served(
        val endpoint: StubEndpoint,
        val caller: RawConnection,
        val outcome: AttemptOutcome
    )

    /** Sends request 2, which has to use the connection of request 1. */
    private fun Served.serveNext() {
        caller.write(get("2"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, repetition = Repetition.AT_MOST_ONCE)
        assertIs<AttemptOutcome.Completed>(awaitEnd(arrived.request))
        assertContains(caller.readMessage(), "X-Id: 2")
        assertEquals(1, endpoint.connections.size)
    }

    @Test
    fun `an answer means the same wherever it is split`() {
        val answer = responseTo("1")
        for (at in 1 until answer.length) {
            serveSplit(answer, at, streaming = false) {
                assertIs<AttemptOutcome.Completed>(it.outcome, "$at bytes")
                assertContains(it.caller.readMessage(), "\r\n\r\nhello")
                it.serveNext()
            }
        }
    }

    @Test
    fun `a stream is passed on whole wherever it is split`() {
        val answer = streamOf("1")
        for (at in 1 until answer.length) {
            serveSplit(answer, at, streaming = true) {
                assertIs<AttemptOutcome.Completed>(it.outcome, "$at bytes")
                val passedOn = it.caller.readTo("0\r\n\r\n")
                val events = Regex("id: [0-9]+\ndata: [a-z]\n\n").findAll(passedOn)
                val expected = listOf("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n")
                assertEquals(expected, events.map { event -> event.value }.toList(), "$at bytes")
                it.serveNext()
            }
        }
    }

    @Test
    fun `a refusal and a failure mean the same wherever they are split`() {
        val refusal = refusalOf("1")
        for (at in 1 until refusal.length) {
            serveSplit(refusal, at, streaming = false) {
                assertIs<AttemptOutcome.NotRun>(it.outcome, "$at bytes")
                abandon(it)
            }
        }
        val failure = responseTo("1", "failed", "500 Oops")
        for (at in 1 until failure.length) {
            serveSplit(failure, at, streaming = false) {
                assertEquals(AttemptOutcome.Failed(500), it.outcome, "$at bytes")
                abandon(it)
            }
        }
    }

    private fun abandon(served: Served) {
        served.caller.close()
        fixture.nextEvent<ForwardEvent.CallerLeft>()
    }

    /** The copy comes when the next request was sent, so only its id tells it from the answer. */
    @Test
    fun `a second copy does not answer the next request wherever it is split`() {
        for (copy in listOf(responseTo("1"), refusalOf("1"), streamOf("1"))) {
            for (at in 1 until copy.length) {
                val endpoint = fixture.endpoint {
                    it.readMessage()
                    it.write(responseTo("1"))
                    it.readMessage()
                    it.writeSplit(copy, at)
                    it.write(responseTo("2", "world"))
                    it.readMessage()
                }
                assertSecondAnswered(endpoint, "$at bytes of ${copy.take(12)}")
            }
        }
    }

    /** The first part comes with the answer, the rest when the next request may have been sent. */
    @Test
    fun `a second copy that comes in two parts does not answer the next request`() {
        for (copy in listOf(responseTo("1"), refusalOf("1"), streamOf("1"))) {
            for (at in 1 until copy.length) {
                val endpoint = fixture.endpoint {
                    val request = it.readMessage()
                    if ("X-Id: 1\r\n" in request) {
                        it.write(responseTo("1") + copy.take(at))
                        it.readMessage()
                        it.write(copy.drop(at))
                    }
                    it.write(responseTo("2", "world"))
                    it.readMessage()
                }
                assertSecondAnswered(endpoint, "$at bytes of ${copy.take(12)}")
            }
        }
    }

    private fun assertSecondAnswered(endpoint: StubEndpoint, label: String) {
        val caller = fixture.call(get("1"))
        val first = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(first, endpoint.address)
        assertIs<AttemptOutcome.Completed>(awaitEnd(first.request), label)
        caller.readMessage()
        caller.write(get("2"))
        val second = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(
            second,
            endpoint.address,
            repetition = Repetition.AT_MOST_ONCE,
            remaining = 5.seconds
        )
        assertIs<AttemptOutcome.Completed>(awaitEnd(second.request), label)
        val answer = caller.readMessage()
        assertContains(answer, "X-Id: 2", message = label)
        assertContains(answer, "\r\n\r\nworld", message = label)
        endpoint.close()
        caller.close()
    }

    private companion object {
        /** Time in which the gateway reads a segment before the next one comes. */
        const val SEGMENT_MS = 2L
    }
}
