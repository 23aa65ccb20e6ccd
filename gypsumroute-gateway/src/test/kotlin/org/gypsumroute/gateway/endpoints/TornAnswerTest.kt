/*
 * The beginning of a second answer that an endpoint writes after a complete one, broken off at any
 * byte. Guards against bytes of one answer that become a part of the next: a request that runs
 * again because it seems refused, and a failure that reaches its caller as a success.
 */
package org.gypsumroute.gateway.endpoints

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.UnexpectedInput
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.get
import org.gypsumroute.gateway.forwarding.responseTo

class TornAnswerTest {
    private val fixture = TrafficFixture()

    @AfterTest
    fun close() = fixture.close()

    /** When the beginning of the second answer arrives at the gateway. */
    private enum class Arrival { WITH_FIRST_ANSWER, WHILE_IDLE, BEFORE_NEXT_ANSWER }

    /**
     * An endpoint that writes [torn] after its answer to request 1 and answers request 2 with
     * [next]. Counts [closed] down if the connection ends before request 2.
     */
    private fun endpointThatTears(
        torn: String,
        arrival: Arrival,
        next: String,
        closed: CountDownLatch
    ) = fixture.endpoint {
        val request = it.readMessage()
        if ("X-Id: 1\r\n" in request) {
            it.write(responseTo("1") + if (arrival == Arrival.WITH_FIRST_ANSWER) torn else "")
            if (arrival == Arrival.WHILE_IDLE) it.write(torn)
            val second = runCatching { it.readMessage() }.getOrDefault("")
            if (second.isEmpty()) {
                closed.countDown()
                return@endpoint
            }
            if (arrival == Arrival.BEFORE_NEXT_ANSWER) it.write(torn)
        }
        it.write(next)
        it.close()
    }

    /** What became of request 2, which follows request 1 on the caller's connection. */
    private class Second(val outcome: AttemptOutcome, val answer: String?)

    private fun serveTwo(torn: String, arrival: Arrival, next: String): Second {
        val closed = CountDownLatch(1)
        val endpoint = endpointThatTears(torn, arrival, next, closed)
        val caller = fixture.call(get("1"))
        fixture.send(fixture.nextEvent(), endpoint.address)
        caller.readMessage()
        assertIs<AttemptOutcome.Completed>(fixture.nextEvent<ForwardEvent.AttemptEnded>().outcome)
        if (arrival == Arrival.WHILE_IDLE) closed.await(READ_TIME_MS, TimeUnit.MILLISECONDS)
        caller.write(get("2"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, repetition = Repetition.AT_MOST_ONCE)
        val outcome = fixture.awaitAttemptEnd(arrived.request).outcome
        val answer = if (outcome is AttemptOutcome.Completed) caller.readMessage() else null
        caller.close()
        if (answer == null) assertIs<ForwardEvent.CallerLeft>(fixture.nextEvent())
        endpoint.close()
        return Second(outcome, answer)
    }

    private fun beginningsOf(answer: String): List<String> =
        (1 until answer.length).map { answer.take(it) }

    private fun refusalOf(id: String) =
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: $id\r\n" +
            "Content-Length: 4\r\n\r\nbusy"

    @Test
    fun `a broken-off refusal after an answer does not refuse the next request`() {
        for (arrival in Arrival.entries) {
            for (torn in beginningsOf(refusalOf("1"))) {
                val second = serveTwo(torn, arrival, responseTo("2"))
                val label = "$arrival, ${torn.length} bytes: ${second.outcome}"
                val accepted = second.outcome is AttemptOutcome.Lost ||
                    second.outcome is AttemptOutcome.Completed
                assertTrue(accepted, label)
                second.answer?.let { assertContains(it, "X-Id: 2", message = label) }
            }
        }
    }

    @Test
    fun `a broken-off success after an answer does not turn the next failure into a success`() {
        val success = "HTTP/1.1 200 OK\r\nX-Note: a\r\nX-Id: 1\r\nX-Signature: s\r\n" +
            "Content-Length: 5\r\n\r\nhello"
        for (arrival in Arrival.entries) {
            for (torn in beginningsOf(success)) {
                val failure = responseTo("2", "failed", "500 Oops")
                val outcome = serveTwo(torn, arrival, failure).outcome
                val label = "$arrival, ${torn.length} bytes: $outcome"
                assertFalse(outcome is AttemptOutcome.Completed, label)
                assertFalse(outcome is AttemptOutcome.NotRun, label)
                if (outcome is AttemptOutcome.Failed) assertTrue(outcome.status == 500, label)
            }
        }
    }

    /** The bytes arrive when the next request was sent already, so only the head itself tells. */
    @Test
    fun `a head that holds the status line of another answer is no answer`() {
        val torn = "HTTP/1.1 200 OK\r\nX-Note: a"
        val outcome = serveTwo(torn, Arrival.BEFORE_NEXT_ANSWER, responseTo("2", "x", "500 Oops"))
        assertIs<AttemptOutcome.Lost>(outcome.outcome)
        val dropped = fixture.droppedInput.poll(5, TimeUnit.SECONDS)
        assertEquals(UnexpectedInput.JOINED_RESPONSES, dropped?.input)
    }

    /** Bytes that belong to no request must not wait for the next one. */
    @Test
    fun `a request after a broken-off answer uses a new connection`() {
        for (arrival in listOf(Arrival.WITH_FIRST_ANSWER, Arrival.WHILE_IDLE)) {
            for (torn in beginningsOf(refusalOf("1"))) {
                val second = serveTwo(torn, arrival, responseTo("2"))
                assertIs<AttemptOutcome.Completed>(second.outcome, "$arrival, $torn")
                val dropped = fixture.droppedInput.poll(5, TimeUnit.SECONDS)
                assertEquals(UnexpectedInput.WITHOUT_REQUEST, dropped?.input)
            }
        }
    }

    private companion object {
        /** Time in which the gateway reads what an endpoint wrote on an idle connection. */
        const val READ_TIME_MS = 50L
    }
}
