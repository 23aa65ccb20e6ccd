/*
 * Answers without a length whose connection ends in another way than by the endpoint's close.
 * Guards against a part of an answer that callers take for the whole.
 */
package org.gypsumroute.gateway.endpoints

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.gateway.forwarding.RawConnection
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.first
import org.gypsumroute.gateway.forwarding.get

class ResetAnswerTest {
    private val fixture = TrafficFixture()
    private val head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n"
    private val plainHead = "${head}Content-Type: text/plain\r\n\r\n"
    private val streamHead = "${head}Content-Type: text/event-stream\r\n\r\n"
    private val events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

    @AfterTest
    fun close() = fixture.close()

    /** An answer that begins while most of its request is still to be written. */
    private inner class EarlyAnswer(
        text: String,
        streaming: Boolean = false,
        end: (RawConnection) -> Unit
    ) {
        private val endpoint = fixture.endpoint(
            {
                it.readTo("\r\n\r\n")
                it.write(text)
                Thread.sleep(PAUSE_MS)
                end(it)
            },
            RECEIVE_BUFFER_BYTES
        )
        val caller = fixture.call(
            "POST /a HTTP/1.1\r\nX-Id: 1\r\nContent-Length: $BODY_BYTES\r\n\r\n" +
                "x".repeat(BODY_BYTES)
        )
        private val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        val outcome: AttemptOutcome

        init {
            fixture.send(arrived, endpoint.address, streaming)
            outcome = generateSequence { fixture.nextEvent<ForwardEvent>() }
                .filterIsInstance<ForwardEvent.AttemptEnded>()
                .first().outcome
        }

        /** Ends the request without an answer, or the answer if it has begun. */
        fun cut() = fixture.execute(ForwardEffect.Cut(arrived.request))
    }

    /** The reset shows as a failed write, after which the decoder reported the end of the body. */
    @Test
    fun `an answer that is reset while its request is written is lost`() {
        val answer = EarlyAnswer(plainHead + "hello") { it.reset() }
        assertTrue(assertIs<AttemptOutcome.Lost>(answer.outcome).connectionLost)
        answer.cut()
        assertTrue(answer.caller.isReset())
    }

    @Test
    fun `a stream that is reset between two events while its request is written has broken off`() {
        val answer = EarlyAnswer(streamHead + events, streaming = true) { it.reset() }
        assertTrue(assertIs<AttemptOutcome.Broken>(answer.outcome).connectionLost)
        answer.cut()
        val received = answer.caller.readAll().orEmpty()
        assertTrue("data: b" in received, received)
        assertFalse(received.endsWith("\r\n0\r\n\r\n"), received)
    }

    @Test
    fun `a long answer that is reset while its request is written has broken off`() {
        val answer = EarlyAnswer(plainHead + "x".repeat(LONG_ANSWER_BYTES)) { it.reset() }
        assertTrue(assertIs<AttemptOutcome.Broken>(answer.outcome).connectionLost)
        answer.cut()
        assertFalse(answer.caller.readAll().orEmpty().endsWith("\r\n0\r\n\r\n"))
    }

    /** Such an endpoint has not read its request, so that its end may be that of its process. */
    @Test
    fun `an answer that ends before its request is written waits for the request`() {
        val whole = EarlyAnswer(plainHead + "hello") {
            it.finishWriting()
            Thread.sleep(PAUSE_MS)
            it.readBytes(BODY_BYTES)
            it.close()
        }
        assertIs<AttemptOutcome.Completed>(whole.outcome)
        assertTrue(whole.caller.readMessage().endsWith("\r\n\r\nhello"))
        val reset = EarlyAnswer(plainHead + "hello") {
            it.finishWriting()
            Thread.sleep(PAUSE_MS)
            it.reset()
        }
        assertTrue(assertIs<AttemptOutcome.Lost>(reset.outcome).connectionLost)
    }

    /** Guards against an end of the connection that the gateway causes itself. */
    @Test
    fun `an answer that the end of the gateway cuts off is not completed`() = repeat(ENDS) {
        TrafficFixture().use { ending ->
            val endpoint = ending.endpoint { it.write(plainHead + "hello") }
            val caller = ending.call(get("1"))
            ending.send(ending.nextEvent(), endpoint.address)
            Thread.sleep(PAUSE_MS)
            ending.endLoop()
            assertEquals("", caller.readAll().orEmpty())
        }
    }

    private companion object {
        const val PAUSE_MS = 100L
        const val ENDS = 10

        /** More than the kernel's buffers take. */
        const val BODY_BYTES = 4_000_000
        const val RECEIVE_BUFFER_BYTES = 16 * 1024

        /** More than is kept until it is complete. */
        const val LONG_ANSWER_BYTES = 1_200_000
    }
}
