/*
 * What endpoints state of themselves in the heads of their answers. Guards against a statement that
 * is heard only in some kinds of answers, or that is held against another endpoint.
 */
package org.gypsumroute.gateway.endpoints

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.gypsumroute.api.EndpointStatement
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.chunk
import org.gypsumroute.gateway.forwarding.get
import org.gypsumroute.gateway.forwarding.responseTo

class StatementsTest {
    private val fixture = TrafficFixture()

    @AfterTest
    fun close() = fixture.close()

    private fun headOf(status: String, id: String, more: String) =
        "HTTP/1.1 $status\r\nX-Id: $id\r\nX-Leaving: 1\r\n$more\r\n"

    private fun send(answer: String, streaming: Boolean): ForwardEvent.Arrived {
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.write(answer)
            it.readMessage()
        }
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, streaming)
        return arrived
    }

    @Test
    fun `an endpoint that leaves is heard in each kind of answer`() {
        val signed = "X-Signature: s\r\n"
        val length = "Content-Length: 5\r\n"
        val chunked = "Transfer-Encoding: chunked\r\n"
        val answers = listOf(
            headOf("200 OK", "1", signed + length) + "hello" to false,
            headOf("200 OK", "1", length) + "hello" to false,
            headOf("500 Oops", "1", length) + "hello" to false,
            headOf("503 Busy", "1", "X-Not-Run: 1\r\n$length") + "hello" to false,
            headOf("200 OK", "1", signed + chunked) + chunk("id: 1\ndata: a\n\n") to true
        )
        for ((answer, streaming) in answers) {
            val arrived = send(answer, streaming)
            val stated = fixture.nextEvent<ForwardEvent.EndpointStated>()
            assertEquals(EndpointStatement.Leaving, stated.statement, answer)
            assertEquals(TrafficFixture.ENDPOINT_START, stated.startedAt)
            val next = fixture.nextEvent<ForwardEvent>()
            assertTrue(next is ForwardEvent.AttemptEnded || next is ForwardEvent.StreamBegun)
            if (next is ForwardEvent.AttemptEnded) assertEquals(arrived.request, next.request)
        }
    }

    @Test
    fun `an answer that is passed over tells of its endpoint too`() {
        val passedOver = headOf("200 OK", "other", "Content-Length: 5\r\n") + "hello"
        send(passedOver + responseTo("1"), streaming = false)
        assertIs<EndpointStatement.Leaving>(
            fixture.nextEvent<ForwardEvent.EndpointStated>().statement
        )
        fixture.nextEvent<ForwardEvent.AttemptEnded>()
    }

    /** Another endpoint listens at the address now. */
    @Test
    fun `an answer to a misdirected request says nothing of the endpoint that was meant`() {
        send(headOf("421 Other", "1", "Content-Length: 0\r\n"), streaming = false)
        fixture.nextEvent<ForwardEvent.AttemptEnded>()
    }
}
