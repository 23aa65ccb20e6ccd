/*
 * Answers that end at any byte of their head or body because the endpoint closes or resets the
 * connection. Guards against callers that get such an answer as a whole one, and against ends of
 * endpoints that do not count as lost connections.
 */
package org.gypsumroute.gateway.endpoints

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.gateway.forwarding.RawConnection
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.chunk
import org.gypsumroute.gateway.forwarding.first
import org.gypsumroute.gateway.forwarding.get
import org.gypsumroute.gateway.forwarding.responseTo
import org.gypsumroute.gateway.forwarding.streamHeadFor

class CutAnswerTest {
    private val fixture = TrafficFixture()

    @AfterTest
    fun close() = fixture.close()

    private val chunkedAnswer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n" +
        "Transfer-Encoding: chunked\r\n\r\n" + chunk("hello") + "0\r\n\r\n"
    private val unframedHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n\r\n"
    private val refusal =
        "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy"

    private fun outcomeOf(
        answer: String,
        streaming: Boolean,
        end: (RawConnection) -> Unit
    ): AttemptOutcome {
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.write(answer)
            end(it)
        }
        val caller = fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, streaming)
        val event = generateSequence { fixture.nextEvent<ForwardEvent>() }
            .first { it !is ForwardEvent.StreamBegun }
        val outcome = assertIs<ForwardEvent.AttemptEnded>(event).outcome
        caller.close()
        assertIs<ForwardEvent.CallerLeft>(fixture.nextEvent())
        endpoint.close()
        return outcome
    }

    private fun checkLost(answer: String, streaming: Boolean = false) {
        val ends = mapOf<String, (RawConnection) -> Unit>(
            "closed" to { it.close() },
            "reset" to { it.reset() }
        )
        for ((name, end) in ends) {
            val outcome = outcomeOf(answer, streaming, end)
            val label = "$name after ${answer.length} bytes: $outcome"
            val lost = when (outcome) {
                is AttemptOutcome.Lost -> outcome.connectionLost
                is AttemptOutcome.Broken -> outcome.connectionLost
                else -> false
            }
            assertEquals(true, lost, label)
        }
    }

    private fun beginningsOf(answer: String) = (0 until answer.length).map { answer.take(it) }

    @Test
    fun `an answer with a length that ends early is lost`() {
        beginningsOf(responseTo("1")).forEach { checkLost(it) }
        beginningsOf(refusal).forEach { checkLost(it) }
    }

    @Test
    fun `an answer in chunks that ends early is lost`() =
        beginningsOf(chunkedAnswer).forEach { checkLost(it) }

    @Test
    fun `a stream of events that ends early is lost or broken`() {
        val stream = streamHeadFor("1") + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"
        beginningsOf(stream).forEach { checkLost(it, streaming = true) }
    }

    @Test
    fun `an answer that ends with its connection is lost if it ends in its head`() {
        beginningsOf(unframedHead).forEach { checkLost(it) }
        beginningsOf(unframedHead).forEach { checkLost(it, streaming = true) }
    }
}
