/*
 * What endpoints and callers receive when a request with a single response is forwarded.
 */
package org.gypsumroute.gateway.forwarding

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.RunState

class ForwardingTest {
    private val fixture = TrafficFixture()

    @AfterTest
    fun close() = fixture.close()

    @Test
    fun `method, target and body reach the endpoint byte for byte`() {
        val endpoint = fixture.endpoint { it.write(responseTo("1")) }
        val target = "/a/../%7Ex//b;c?q=%2F&r=a+b"
        val caller = fixture.call(
            "PATCH $target HTTP/1.1\r\nHost: A.example\r\nX-Id: 1\r\nX-Key: secret\r\n" +
                "X-Other: Kept\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n" +
                "Content-Length: 4\r\n\r\nbody"
        )
        fixture.send(fixture.nextEvent(), endpoint.address)
        val received = endpoint.connections.take().readMessage()
        assertTrue(received.startsWith("PATCH $target HTTP/1.1\r\n"), received)
        assertTrue(received.endsWith("\r\n\r\nbody"), received)
        assertContains(received, "Host: A.example\r\n")
        assertContains(received, "X-Other: Kept\r\n")
        assertContains(received, "X-Endpoint: e1\r\n")
        for (hidden in listOf("secret", "X-Hop", "X-Key", "User-Agent", "Accept-Encoding")) {
            assertFalse(hidden in received, received)
        }
        assertTrue(caller.readMessage().endsWith("\r\n\r\nhello"))
    }

    @Test
    fun `a chunked body is forwarded with its length`() {
        val endpoint = fixture.endpoint { it.write(responseTo("1")) }
        fixture.call(
            "POST /a/ HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n" +
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        fixture.send(fixture.nextEvent(), endpoint.address)
        assertTrue(endpoint.connections.take().readMessage().endsWith("\r\n\r\nabcde"))
    }

    @Test
    fun `the body of a GET request is forwarded`() {
        val endpoint = fixture.endpoint { it.write(responseTo("1")) }
        fixture.call("GET /a/ HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nhi")
        fixture.send(fixture.nextEvent(), endpoint.address)
        assertTrue(endpoint.connections.take().readMessage().endsWith("\r\n\r\nhi"))
    }

    @Test
    fun `the forwarded remaining time excludes the wait before the request is written`() {
        val endpoint = fixture.endpoint { it.write(responseTo("1")) }
        fixture.call(get("1"))
        fixture.send(fixture.nextEvent(), endpoint.address, remaining = 800.milliseconds)
        val received = endpoint.connections.take().readMessage()
        val remainingMs = Regex("X-Deadline: (\\d+)").find(received)!!.groupValues[1].toInt()
        assertTrue(remainingMs in 300..800, received)
    }

    @Test
    fun `a connection is reused for the next request`() {
        val endpoint = fixture.endpoint { connection ->
            repeat(2) {
                val id = Regex("X-Id: (\\d)").find(connection.readMessage())!!.groupValues[1]
                connection.write(responseTo(id))
            }
        }
        val caller = fixture.call(get("1"))
        fixture.send(fixture.nextEvent(), endpoint.address)
        caller.readMessage()
        fixture.nextEvent<ForwardEvent.AttemptEnded>()
        caller.write(get("2"))
        fixture.send(fixture.nextEvent(), endpoint.address)
        assertContains(caller.readMessage(), "X-Id: 2")
        assertEquals(1, endpoint.connections.size)
    }

    /**
     * Bytes after a complete response belong to no request and must not be taken for the response
     * to the next one.
     */
    @Test
    fun `a connection that received unexpected bytes is not reused`() {
        val endpoint = fixture.endpoint { connection ->
            val id = Regex("X-Id: (\\d)").find(connection.readMessage())!!.groupValues[1]
            connection.write(responseTo(id) + responseTo(id, "again"))
        }
        val caller = fixture.call(get("1"))
        fixture.send(fixture.nextEvent(), endpoint.address)
        assertTrue(caller.readMessage().endsWith("hello"))
        fixture.nextEvent<ForwardEvent.AttemptEnded>()
        Thread.sleep(100)
        caller.write(get("2"))
        fixture.send(fixture.nextEvent(), endpoint.address)
        assertContains(caller.readMessage(), "X-Id: 2")
        assertEquals(2, endpoint.connections.size)
    }

    /** Guards against a late response to an earlier request being relayed for the next one. */
    @Test
    fun `a response with the id of another request is discarded`() {
        val endpoint = fixture.endpoint { connection ->
            connection.readMessage()
            connection.write(responseTo("other", "foreign") + responseTo("1", "mine"))
        }
        val caller = fixture.call(get("1"))
        fixture.send(fixture.nextEvent(), endpoint.address)
        assertTrue(caller.readMessage().endsWith("mine"))
    }

    @Test
    fun `a truncated response is not relayed and the attempt counts as lost`() {
        val responses = listOf(
            "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
                "5\r\nhello\r\n",
            "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Sig",
            "garbage\r\n\r\n",
            ""
        )
        for (response in responses) {
            val endpoint = fixture.endpoint {
                it.readMessage()
                it.write(response)
                it.close()
            }
            val caller = fixture.call(get("1"))
            val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
            fixture.send(arrived, endpoint.address)
            assertIs<AttemptOutcome.Lost>(
                fixture.awaitAttemptEnd(arrived.request).outcome,
                response
            )
            fixture.execute(
                ForwardEffect.Refuse(
                    arrived.request,
                    Failure(ErrorKind.ENDPOINT_LOST, "x", RunState.UNKNOWN)
                )
            )
            assertContains(caller.readMessage(), "HTTP/1.1 502 Bad Gateway")
        }
    }

    @Test
    fun `a response without length is complete after a close but not after a reset`() {
        val head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n\r\nhello"
        val closing = fixture.endpoint {
            it.readMessage()
            it.write(head)
            it.close()
        }
        val caller = fixture.call(get("1"))
        fixture.send(fixture.nextEvent(), closing.address)
        assertTrue(caller.readMessage().endsWith("hello"))
        fixture.nextEvent<ForwardEvent.AttemptEnded>()
        val resetting = fixture.endpoint {
            it.readMessage()
            it.write(head)
            Thread.sleep(100)
            it.reset()
        }
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, resetting.address)
        assertIs<AttemptOutcome.Lost>(fixture.awaitAttemptEnd(arrived.request).outcome)
    }

    @Test
    fun `a successful response without a signature is not relayed`() {
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nhi")
        }
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address)
        assertIs<AttemptOutcome.Lost>(fixture.awaitAttemptEnd(arrived.request).outcome)
    }

    @Test
    fun `a request counts as not run only if the endpoint states so`() {
        val declaredNotRun = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        val undeclared = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        val outcomes = listOf(declaredNotRun, undeclared).map { response ->
            val endpoint = fixture.endpoint {
                it.readMessage()
                it.write(response)
            }
            fixture.call(get("1"))
            val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
            fixture.send(arrived, endpoint.address)
            fixture.awaitAttemptEnd(arrived.request).outcome
        }
        assertIs<AttemptOutcome.NotRun>(outcomes[0])
        assertIs<AttemptOutcome.Lost>(outcomes[1])
    }

    @Test
    fun `a failure response is buffered and relayed unchanged on demand`() {
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.write(responseTo("1", "broken", "500 Oops"))
        }
        val caller = fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address)
        assertEquals(AttemptOutcome.Failed(500), fixture.awaitAttemptEnd(arrived.request).outcome)
        fixture.execute(ForwardEffect.RelayFailure(arrived.request))
        val response = caller.readMessage()
        assertTrue(response.startsWith("HTTP/1.1 500 "), response)
        assertContains(response, "X-Signature: s")
        assertTrue(response.endsWith("broken"), response)
    }

    /**
     * The endpoint may be about to close an idle connection. A request sent on it then fails, and
     * it is unknown whether it ran.
     */
    @Test
    fun `a request that must not run twice uses a new connection after a pause`() {
        val endpoint = fixture.endpoint { connection ->
            while (true) {
                val id = Regex("X-Id: (\\d)").find(connection.readMessage())?.groupValues?.get(1)
                connection.write(responseTo(id ?: break))
            }
        }
        val caller = fixture.call(get("1"))
        fixture.send(fixture.nextEvent(), endpoint.address)
        caller.readMessage()
        fixture.nextEvent<ForwardEvent.AttemptEnded>()
        Thread.sleep(600)
        caller.write(get("2"))
        fixture.send(
            fixture.nextEvent(),
            endpoint.address,
            repetition = Repetition.AT_MOST_ONCE
        )
        caller.readMessage()
        assertEquals(2, endpoint.connections.size)
    }

    /** Guards against an answer that is lost because of a number in its headers. */
    @Test
    fun `a keep-alive time of any size does not affect the answer`() {
        for (seconds in listOf("9223372036854775807", "9".repeat(40), "-1", "0", "x", "")) {
            val endpoint = fixture.endpoint {
                it.readMessage()
                it.write(responseTo("1").replace("X-Id", "Keep-Alive: timeout=$seconds\r\nX-Id"))
            }
            val caller = fixture.call(get("1"))
            fixture.send(fixture.nextEvent(), endpoint.address)
            assertTrue(caller.readMessage().endsWith("hello"), seconds)
            val outcome = fixture.nextEvent<ForwardEvent.AttemptEnded>().outcome
            assertIs<AttemptOutcome.Completed>(outcome, seconds)
        }
    }

    /**
     * Guards against a next request that is written before the rest of a body whose response came
     * early, or in its place.
     */
    @Test
    fun `a long body is sent completely even if the response arrives before its end`() {
        val body = "x".repeat(3_000_000)
        val rest = LinkedBlockingQueue<String>()
        val endpoint = fixture.endpoint { connection ->
            connection.readTo("\r\n\r\n")
            connection.write(responseTo("1"))
            Thread.sleep(300)
            rest += connection.readTo("xG")
        }
        val caller = fixture.call(
            "POST /a/ HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\nContent-Length: ${body.length}\r\n\r\n" +
                body
        )
        fixture.send(fixture.nextEvent(), endpoint.address)
        assertTrue(caller.readMessage().endsWith("hello"))
        fixture.nextEvent<ForwardEvent.AttemptEnded>()
        caller.write(get("2"))
        fixture.send(fixture.nextEvent(), endpoint.address)
        val received = assertNotNull(rest.poll(10, TimeUnit.SECONDS))
        assertEquals(body, received.removeSuffix("G"))
    }
}
