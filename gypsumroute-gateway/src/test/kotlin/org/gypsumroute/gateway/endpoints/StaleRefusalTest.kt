/*
 * Refusals that an endpoint writes once more on a kept connection. Guards against callers that are
 * told that a request did not run while an endpoint runs it, and against second runs of it.
 */
package org.gypsumroute.gateway.endpoints

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.Repetition
import org.gypsumroute.gateway.forwarding.RawConnection
import org.gypsumroute.gateway.forwarding.StubEndpoint
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.chunk
import org.gypsumroute.gateway.forwarding.first
import org.gypsumroute.gateway.forwarding.get
import org.gypsumroute.gateway.forwarding.responseTo

class StaleRefusalTest {
    private val fixture = TrafficFixture()
    private val unnamedRefusal =
        "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

    @AfterTest
    fun close() = fixture.close()

    private fun refusalOf(id: String, headers: String = "") =
        "HTTP/1.1 503 Busy\r\nX-Id: $id\r\nX-Not-Run: 1\r\n${headers}Content-Length: 0\r\n\r\n"

    /** Serves request 1 and then writes [answers], with a pause, to request 2. */
    private fun endpointWithKeptConnection(vararg answers: String) = fixture.endpoint {
        it.readMessage()
        it.write(responseTo("1"))
        it.readMessage()
        for (answer in answers) {
            it.write(answer)
            Thread.sleep(100)
        }
        it.readMessage()
    }

    /** Sends request 2 on the connection that request 1 used and returns its caller. */
    private fun sendSecond(endpoint: StubEndpoint): Pair<RawConnection, ForwardEvent.Arrived> {
        val caller = fixture.call(get("1"))
        fixture.send(fixture.nextEvent(), endpoint.address)
        caller.readMessage()
        fixture.nextEvent<ForwardEvent.AttemptEnded>()
        caller.write(get("2"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, repetition = Repetition.AT_MOST_ONCE)
        return caller to arrived
    }

    @Test
    fun `a failure without an id on a kept connection does not answer the next request`() {
        val failure = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
        val misdirected = "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"
        for (stale in listOf(unnamedRefusal, failure, misdirected)) {
            val endpoint = endpointWithKeptConnection(stale, responseTo("2"))
            val (caller, arrived) = sendSecond(endpoint)
            val outcome = fixture.awaitAttemptEnd(arrived.request).outcome
            assertIs<AttemptOutcome.Completed>(outcome, stale)
            assertContains(caller.readMessage(), "X-Id: 2")
            assertEquals(1, endpoint.connections.size)
        }
    }

    @Test
    fun `a refusal of an earlier request does not refuse the next one`() {
        val endpoint = endpointWithKeptConnection(refusalOf("1"), responseTo("2"))
        val (caller, arrived) = sendSecond(endpoint)
        assertIs<AttemptOutcome.Completed>(fixture.awaitAttemptEnd(arrived.request).outcome)
        assertContains(caller.readMessage(), "X-Id: 2")
    }

    @Test
    fun `a request may have run if only a stale refusal came before the connection closed`() {
        val closing = listOf(
            "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            refusalOf("1", "Connection: close\r\n")
        )
        for (stale in closing) {
            val endpoint = endpointWithKeptConnection(stale)
            val (_, arrived) = sendSecond(endpoint)
            assertIs<AttemptOutcome.Lost>(fixture.awaitAttemptEnd(arrived.request).outcome, stale)
        }
    }

    /** The refusal of the first attempt names the same request as that of the second would. */
    @Test
    fun `a request that is sent to an address again uses a new connection`() {
        val endpoint = fixture.endpoint {
            while (it.readMessage().isNotEmpty()) it.write(refusalOf("1"))
        }
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        repeat(2) {
            fixture.send(arrived, endpoint.address, repetition = Repetition.AT_MOST_ONCE)
            assertIs<AttemptOutcome.NotRun>(fixture.awaitAttemptEnd(arrived.request).outcome)
        }
        assertEquals(2, endpoint.connections.size)
    }

    /** An endpoint that wrote one answer too many may do so again. */
    @Test
    fun `a connection on which an answer was passed over is not kept`() {
        val endpoint = endpointWithKeptConnection(refusalOf("1") + responseTo("2"))
        val (caller, arrived) = sendSecond(endpoint)
        assertIs<AttemptOutcome.Completed>(fixture.awaitAttemptEnd(arrived.request).outcome)
        caller.readMessage()
        caller.write(get("3"))
        fixture.send(fixture.nextEvent(), endpoint.address)
        fixture.awaitConnections(endpoint, 2)
    }

    @Test
    fun `a refusal before the end of a long body is a promise`() {
        val body = "x".repeat(3_000_000)
        val endpoint = fixture.endpoint {
            it.readTo("\r\n\r\n")
            it.write(refusalOf("1"))
            Thread.sleep(300)
            it.readAll()
        }
        fixture.call(
            "POST /a/ HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\nContent-Length: ${body.length}\r\n\r\n" +
                body
        )
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, repetition = Repetition.AT_MOST_ONCE)
        assertIs<AttemptOutcome.NotRun>(fixture.awaitAttemptEnd(arrived.request).outcome)
        fixture.send(arrived, endpoint.address, repetition = Repetition.AT_MOST_ONCE)
        assertIs<AttemptOutcome.NotRun>(fixture.awaitAttemptEnd(arrived.request).outcome)
        assertEquals(2, endpoint.connections.size)
    }

    /** Bytes of another answer inside an answer are no answer, whatever they promise. */
    @Test
    fun `a refusal after a part of the answer is no refusal`() {
        val begun = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n"
        val answers = listOf(
            "${begun}Transfer-Encoding: chunked\r\n\r\n" + chunk("hello") + refusalOf("1"),
            "${begun}Content-Length: 1000\r\n\r\nhello" + refusalOf("1")
        )
        for (answer in answers) {
            val endpoint = fixture.endpoint {
                it.readMessage()
                it.write(answer)
                it.close()
            }
            fixture.call(get("1"))
            val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
            fixture.send(arrived, endpoint.address)
            assertIs<AttemptOutcome.Lost>(fixture.awaitAttemptEnd(arrived.request).outcome, answer)
        }
    }
}
