/*
 * What may follow a part of an answer that the caller already has. Guards against callers that find
 * the text or the head of another answer in the middle of their stream, or a stream that broke off
 * and looks complete.
 */
package org.gypsumroute.gateway.endpoints

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.RunState
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.chunk
import org.gypsumroute.gateway.forwarding.first
import org.gypsumroute.gateway.forwarding.get
import org.gypsumroute.gateway.forwarding.responseTo
import org.gypsumroute.gateway.forwarding.streamHeadFor

class ResumedAnswerTest {
    private val fixture = TrafficFixture()
    private val signedHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n"
    private val refusal = Failure(ErrorKind.ENDPOINT_LOST, "x", RunState.UNKNOWN)

    @AfterTest
    fun close() = fixture.close()

    /** A stream that broke off after the event with id 5. */
    private inner class BrokenStream(version: String = "HTTP/1.1") {
        val caller = fixture.call("GET /a HTTP/1.1\r\nX-Id: 1\r\n\r\n".replace("HTTP/1.1", version))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()

        init {
            val endpoint = fixture.endpoint {
                it.readMessage()
                it.write(streamHeadFor("1") + chunk("id: 5\ndata: a\n\n"))
                it.close()
            }
            fixture.send(arrived, endpoint.address, streaming = true)
            assertIs<ForwardEvent.StreamBegun>(fixture.nextEvent())
            assertIs<AttemptOutcome.Broken>(fixture.awaitAttemptEnd(arrived.request).outcome)
        }

        /** Returns the outcome of an attempt to resume that gets [answer] and then a close. */
        fun resumeWith(answer: String): AttemptOutcome {
            val endpoint = fixture.endpoint {
                it.readMessage()
                it.write(answer)
                it.close()
            }
            fixture.send(arrived, endpoint.address, streaming = true)
            return fixture.awaitAttemptEnd(arrived.request).outcome
        }

        /** Asserts that the caller received the first event only, and no sign of an end. */
        fun assertBrokenOff(case: String) {
            caller.readTo("data: a\n\n\r\n")
            assertEquals("", caller.readTo("\r\n\r\n"), case)
        }
    }

    @Test
    fun `an answer that does not continue the stream is not relayed`() {
        val body = "id: 6\ndata: b\n\n"
        val framed = "Content-Length: ${body.length}\r\n\r\n$body"
        val event = "Content-Type: text/event-stream\r\n"
        val cases = listOf(
            "HTTP/1.1 200 OK\r\nX-Id: 1\r\n$event$framed",
            "${signedHead}Content-Type: application/json\r\n$framed",
            "${signedHead}Content-Type: application/json\r\n\r\n$body",
            "${signedHead}Content-Type: text/plain\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 204 No Content\r\nX-Id: 1\r\nX-Signature: s\r\n\r\n",
            "HTTP/1.1 206 Partial\r\nX-Id: 1\r\nX-Signature: s\r\n$event$framed",
            "HTTP/1.1 302 Found\r\nX-Id: 1\r\nX-Signature: s\r\n$event$framed",
            "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Signature: s\r\n$event$framed",
            "${signedHead}Content-Type: text/plain\r\n\r\n" + "x\n\n".repeat(700_000)
        )
        for (answer in cases) {
            val case = answer.take(100)
            val stream = BrokenStream()
            val outcome = stream.resumeWith(answer)
            val relayed = outcome is AttemptOutcome.Completed || outcome is AttemptOutcome.Broken
            assertFalse(relayed, "$outcome: $case")
            fixture.execute(ForwardEffect.Cut(stream.arrived.request))
            stream.assertBrokenOff(case)
        }
    }

    /** An endpoint that ignores the position starts over, and its events would come twice. */
    @Test
    fun `events that the caller already has are not relayed`() {
        for (id in listOf("1", "4", "5", "05")) {
            val stream = BrokenStream()
            val outcome =
                stream.resumeWith(streamHeadFor("1") + chunk("id: $id\ndata: b\n\n") + "0\r\n\r\n")
            assertIs<AttemptOutcome.Lost>(outcome, id)
            fixture.execute(ForwardEffect.Cut(stream.arrived.request))
            stream.assertBrokenOff(id)
        }
    }

    /** The events of one read are forwarded together, so the first of them counts. */
    @Test
    fun `events after the last one that the caller has are relayed`() {
        for (ids in listOf(listOf("6", "7"), listOf("10"), listOf("end"))) {
            val stream = BrokenStream()
            val events = ids.joinToString("") { "id: $it\ndata: b\n\n" }
            fixture.send(
                stream.arrived,
                fixture.endpoint {
                    it.readMessage()
                    it.write(streamHeadFor("1") + chunk(events) + "0\r\n\r\n")
                }.address,
                streaming = true
            )
            assertIs<ForwardEvent.StreamBegun>(fixture.nextEvent())
            assertTrue(stream.caller.readTo("\r\n0\r\n\r\n").endsWith("$events\r\n0\r\n\r\n"))
            fixture.nextEvent<ForwardEvent.AttemptEnded>()
        }
    }

    @Test
    fun `a stream that has nothing left is complete`() {
        val stream = BrokenStream()
        val outcome = stream.resumeWith(streamHeadFor("1") + "0\r\n\r\n")
        assertIs<AttemptOutcome.Completed>(outcome)
        assertTrue(stream.caller.readTo("\r\n0\r\n\r\n").endsWith("data: a\n\n\r\n0\r\n\r\n"))
    }

    /**
     * The control thread may decide to answer with an error just before it learns that the answer
     * has begun, as at the deadline of the request.
     */
    @Test
    fun `an error of the gateway is not written into an answer that has begun`() {
        val stream = BrokenStream()
        fixture.execute(ForwardEffect.Refuse(stream.arrived.request, refusal))
        stream.assertBrokenOff("refusal")
    }

    @Test
    fun `the failure of an endpoint is not written into an answer that has begun`() {
        val stream = BrokenStream()
        val outcome = stream.resumeWith(responseTo("1", "broken", "500 Oops"))
        assertEquals(AttemptOutcome.Failed(500), outcome)
        fixture.execute(ForwardEffect.RelayFailure(stream.arrived.request))
        stream.assertBrokenOff("failure")
    }

    /** Without chunks, only a reset tells the caller that its answer is incomplete. */
    @Test
    fun `a caller without chunks receives a reset in place of an error`() {
        for (effect in listOf<(ForwardEvent.Arrived) -> ForwardEffect>(
            { ForwardEffect.Cut(it.request) },
            { ForwardEffect.Refuse(it.request, refusal) }
        )) {
            val stream = BrokenStream("HTTP/1.0")
            stream.caller.readTo("data: a\n\n")
            fixture.execute(effect(stream.arrived))
            assertNull(stream.caller.readAll())
        }
    }

    @Test
    fun `a second whole answer does not follow a part of the first`() {
        val first = fixture.endpoint {
            it.readMessage()
            it.write("${signedHead}Content-Length: 3000000\r\n\r\n" + "x".repeat(1_500_000))
            it.close()
        }
        val second = fixture.endpoint {
            it.readMessage()
            it.write(responseTo("1", "whole"))
        }
        val caller = fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, first.address)
        assertIs<ForwardEvent.StreamBegun>(fixture.nextEvent())
        assertIs<AttemptOutcome.Broken>(fixture.awaitAttemptEnd(arrived.request).outcome)
        fixture.send(arrived, second.address)
        assertIs<AttemptOutcome.Lost>(fixture.awaitAttemptEnd(arrived.request).outcome)
        fixture.execute(ForwardEffect.Refuse(arrived.request, refusal))
        val received = caller.readAll().orEmpty()
        assertFalse("whole" in received)
        assertFalse(received.endsWith("0\r\n\r\n"))
    }

    @Test
    fun `an answer of another type than a stream is relayed whole`() {
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.write("${signedHead}Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
        }
        val caller = fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, streaming = true)
        assertIs<AttemptOutcome.Completed>(fixture.awaitAttemptEnd(arrived.request).outcome)
        assertTrue(caller.readMessage().endsWith("\r\n\r\n{}"))
    }
}
