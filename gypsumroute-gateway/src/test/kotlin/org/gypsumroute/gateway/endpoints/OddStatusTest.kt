/*
 * Answers whose status is none of HTTP. Guards against callers that get such an answer, and against
 * a statement in it that is believed.
 */
package org.gypsumroute.gateway.endpoints

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.chunk
import org.gypsumroute.gateway.forwarding.first
import org.gypsumroute.gateway.forwarding.get
import org.gypsumroute.gateway.forwarding.responseTo

class OddStatusTest {
    private val fixture = TrafficFixture()
    private val oddStatuses = listOf("000", "001", "099", "600", "999", "1200")

    /** A switch of protocols is no answer either, since the gateway asks for none. */
    private val noAnswers = oddStatuses + "101"

    @AfterTest
    fun close() = fixture.close()

    private fun outcomeOf(answer: String, streaming: Boolean = false): AttemptOutcome {
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.write(answer)
        }
        val caller = fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, streaming)
        val outcome = fixture.awaitAttemptEnd(arrived.request).outcome
        fixture.execute(ForwardEffect.Cut(arrived.request))
        assertTrue(caller.isReset(), answer)
        return outcome
    }

    /** Such answers were passed on like a failure of the endpoint, 000 as a status of one digit. */
    @Test
    fun `an answer with a status that HTTP does not know is lost`() {
        for (status in noAnswers) {
            val head = "HTTP/1.1 $status Odd\r\nX-Id: 1\r\nX-Signature: s\r\n"
            for (answer in listOf(
                responseTo("1", status = "$status Odd"),
                "$head\r\nhello",
                head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("hello") + "0\r\n\r\n"
            )) {
                assertIs<AttemptOutcome.Lost>(outcomeOf(answer), answer)
            }
            val stream = "${head}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
            assertIs<AttemptOutcome.Lost>(outcomeOf(stream, streaming = true), stream)
        }
    }

    @Test
    fun `a statement in an answer with such a status does not count`() {
        for (status in noAnswers) {
            val answer = "HTTP/1.1 $status Odd\r\nX-Id: 1\r\nX-Not-Run: 1\r\nX-Leaving: 1\r\n" +
                "Content-Length: 0\r\n\r\n"
            assertIs<AttemptOutcome.Lost>(outcomeOf(answer), answer)
        }
    }

    /** Guards against a second answer that ends the request behind it. */
    @Test
    fun `an answer to another request is passed over whatever its status is`() {
        for (status in oddStatuses) {
            val endpoint = fixture.endpoint {
                it.readMessage()
                it.write(responseTo("other", status = "$status Odd") + responseTo("1"))
            }
            val caller = fixture.call(get("1"))
            val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
            fixture.send(arrived, endpoint.address)
            assertContains(caller.readMessage(), "HTTP/1.1 200 OK")
            assertIs<AttemptOutcome.Completed>(fixture.awaitAttemptEnd(arrived.request).outcome)
        }
    }

    @Test
    fun `interim answers are passed over, and rare statuses are passed on`() {
        for ((status, interim) in listOf(418 to 100, 599 to 102, 300 to 103, 511 to 199)) {
            val endpoint = fixture.endpoint {
                it.readMessage()
                it.write("HTTP/1.1 $interim Wait\r\n\r\n" + responseTo("1", status = "$status Odd"))
            }
            val caller = fixture.call(get("1"))
            val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
            fixture.send(arrived, endpoint.address)
            val outcome = fixture.awaitAttemptEnd(arrived.request).outcome
            assertEquals(AttemptOutcome.Failed(status), outcome)
            fixture.execute(ForwardEffect.RelayFailure(arrived.request))
            assertContains(caller.readMessage(), "HTTP/1.1 $status ")
        }
    }

    /** Guards against bytes behind an answer without a body that become a part of another one. */
    @Test
    fun `a body where none may be closes its connection and reaches no caller`() {
        for ((method, status) in listOf(
            "HEAD" to "200 OK",
            "GET" to "204 No",
            "GET" to "304 Not"
        )) {
            val endpoint = fixture.endpoint {
                while (true) {
                    it.readMessage()
                    it.write(responseTo("1", status = status))
                }
            }
            repeat(2) {
                val caller = fixture.call(get("1").replace("GET", method))
                val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
                fixture.send(arrived, endpoint.address)
                fixture.awaitAttemptEnd(arrived.request)
                fixture.execute(ForwardEffect.RelayFailure(arrived.request))
                val received = caller.readTo("\r\n\r\n")
                assertContains(received, "HTTP/1.1 ${status.take(3)}")
                caller.finishWriting()
                assertEquals("", caller.readAll(), status)
            }
            assertTrue(endpoint.connections.size == 2, "$status: ${endpoint.connections.size}")
        }
    }
}
