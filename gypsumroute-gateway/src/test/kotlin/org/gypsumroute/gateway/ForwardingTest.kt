/*
 * What endpoints and callers see of forwarded requests with a single answer.
 */
package org.gypsumroute.gateway

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
    fun `a body in chunks is forwarded with its length`() {
        val endpoint = fixture.endpoint { it.write(responseTo("1")) }
        fixture.call(
            "POST /a/ HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n" +
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        fixture.send(fixture.nextEvent(), endpoint.address)
        assertTrue(endpoint.connections.take().readMessage().endsWith("\r\n\r\nabcde"))
    }

    @Test
    fun `a GET keeps its body`() {
        val endpoint = fixture.endpoint { it.write(responseTo("1")) }
        fixture.call("GET /a/ HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nhi")
        fixture.send(fixture.nextEvent(), endpoint.address)
        assertTrue(endpoint.connections.take().readMessage().endsWith("\r\n\r\nhi"))
    }

    @Test
    fun `the time left shrinks while a request waits to be written`() {
        val endpoint = fixture.endpoint { it.write(responseTo("1")) }
        fixture.call(get("1"))
        fixture.send(fixture.nextEvent(), endpoint.address, remaining = 800.milliseconds)
        val received = endpoint.connections.take().readMessage()
        val remainingMs = Regex("X-Deadline: (\\d+)").find(received)!!.groupValues[1].toInt()
        assertTrue(remainingMs in 300..800, received)
    }

    @Test
    fun `a connection is kept for the next request`() {
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

    /** Bytes after a complete answer belong to no request. */
    @Test
    fun `a connection with extra bytes is not used again`() {
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

    /** A late second answer must not become the answer of the next request. */
    @Test
    fun `an answer with another request's id is passed over`() {
        val endpoint = fixture.endpoint { connection ->
            connection.readMessage()
            connection.write(responseTo("other", "foreign") + responseTo("1", "mine"))
        }
        val caller = fixture.call(get("1"))
        fixture.send(fixture.nextEvent(), endpoint.address)
        assertTrue(caller.readMessage().endsWith("mine"))
    }

    @Test
    fun `a cut answer reaches nobody and counts as lost`() {
        val answers = listOf(
            "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
                "5\r\nhello\r\n",
            "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Sig",
            "garbage\r\n\r\n",
            ""
        )
        for (answer in answers) {
            val endpoint = fixture.endpoint {
                it.readMessage()
                it.write(answer)
                it.close()
            }
            val caller = fixture.call(get("1"))
            val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
            fixture.send(arrived, endpoint.address)
            assertIs<AttemptOutcome.Lost>(fixture.awaitAttemptEnd(arrived.request).outcome, answer)
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
    fun `an answer without length is complete at the connection's end but not at a reset`() {
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
    fun `a success without signature is not passed on`() {
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
    fun `only an endpoint's own word makes a request count as not run`() {
        val declaredNotRun = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        val undeclared = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        val outcomes = listOf(declaredNotRun, undeclared).map { answer ->
            val endpoint = fixture.endpoint {
                it.readMessage()
                it.write(answer)
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
    fun `a failure is held and passed on unchanged when asked for`() {
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.write(responseTo("1", "broken", "500 Oops"))
        }
        val caller = fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address)
        assertEquals(AttemptOutcome.Failed(500), fixture.awaitAttemptEnd(arrived.request).outcome)
        fixture.execute(ForwardEffect.RelayFailure(arrived.request))
        val answer = caller.readMessage()
        assertTrue(answer.startsWith("HTTP/1.1 500 "), answer)
        assertContains(answer, "X-Signature: s")
        assertTrue(answer.endsWith("broken"), answer)
    }

    @Test
    fun `a refused connection means that nothing was sent`() {
        val endpoint = fixture.endpoint { }
        endpoint.close()
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address)
        assertIs<AttemptOutcome.NeverSent>(fixture.awaitAttemptEnd(arrived.request).outcome)
    }

    @Test
    fun `an address that swallows packets is given up soon`() {
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, EndpointAddress("192.0.2.1", 9))
        assertIs<AttemptOutcome.NeverSent>(fixture.awaitAttemptEnd(arrived.request).outcome)
    }

    @Test
    fun `a request whose time is over before it is written is not sent`() {
        val endpoint = fixture.endpoint { it.readMessage() }
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, remaining = 0.milliseconds)
        assertIs<AttemptOutcome.NeverSent>(fixture.awaitAttemptEnd(arrived.request).outcome)
    }

    @Test
    fun `a silent endpoint is given up after the limit and its connection closed`() {
        val endpoint = fixture.endpoint { it.readAll() }
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, firstByteLimit = 100.milliseconds)
        assertIs<AttemptOutcome.Lost>(fixture.awaitAttemptEnd(arrived.request).outcome)
        assertEquals("", endpoint.connections.take().readAll())
    }

    /** Work of a caller that left must not go on. */
    @Test
    fun `a caller that closes has its endpoint connection closed at once`() {
        val endpoint = fixture.endpoint { }
        val caller = fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address)
        val upstream = endpoint.connections.take()
        upstream.readMessage()
        caller.close()
        assertEquals("", upstream.readAll())
        assertEquals(ForwardEvent.CallerLeft(arrived.request), fixture.nextEvent())
    }

    @Test
    fun `an abandoned attempt reports nothing and closes its connection`() {
        val endpoint = fixture.endpoint { }
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        val attempt = fixture.send(arrived, endpoint.address)
        val upstream = endpoint.connections.take()
        upstream.readMessage()
        fixture.execute(ForwardEffect.Abandon(arrived.request, attempt))
        assertEquals("", upstream.readAll())
        assertTrue(fixture.hasNoEvent())
    }

    /** A kept connection that the endpoint is about to close could lose an order. */
    @Test
    fun `work that must run once uses a fresh connection after a pause`() {
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

    /** The rest of the body must not be followed or replaced by anything but a new request. */
    @Test
    fun `an answer before the end of a long body leaves the body whole`() {
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
