/*
 * Callers that close their connection while the gateway is too busy to read from it.
 */
package org.gypsumroute.gateway.callers

import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.gateway.forwarding.RawConnection
import org.gypsumroute.gateway.forwarding.StubEndpoint
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.first
import org.gypsumroute.gateway.forwarding.get
import org.gypsumroute.gateway.forwarding.responseTo

class CallersGoneTest {
    private val fixture = TrafficFixture()

    /** Ids of the requests that the endpoint received. */
    private val received = LinkedBlockingQueue<String>()

    @AfterTest
    fun close() = fixture.close()

    private fun keptConnection(): RawConnection {
        val caller = fixture.call(get("first"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.execute(
            ForwardEffect.Refuse(arrived.request, Failure(ErrorKind.OVERLOADED, "full"))
        )
        caller.readMessage()
        return caller
    }

    private fun newConnection(): RawConnection = fixture.call("")

    /** Ids of the requests that are passed on though [leave] came before the loop read them. */
    private fun passedOn(
        connect: () -> RawConnection,
        request: (String) -> String,
        leave: (RawConnection) -> Unit
    ): List<String> {
        val callers = List(CALLERS) { connect() }
        fixture.whileLoopIsOccupied {
            callers.forEachIndexed { number, caller -> caller.write(request("$number")) }
            callers.forEach(leave)
        }
        return fixture.eventsWithin(WAIT)
            .filterIsInstance<ForwardEvent.Arrived>().map { it.head.callerRequestId }
    }

    private fun post(id: String, bodyBytes: Int): String =
        "POST /a/b HTTP/1.1\r\nHost: a.example\r\nX-Id: $id\r\n" +
            "Content-Length: $bodyBytes\r\n\r\n" + "x".repeat(bodyBytes)

    /** Guards against work for callers whose close lies behind their request in the socket. */
    @Test
    fun `no request is passed on if its caller closed before the request was read`() {
        for (connect in listOf(::keptConnection, ::newConnection)) {
            assertEquals(emptyList(), passedOn(connect, { get(it) }, RawConnection::close))
            assertEquals(emptyList(), passedOn(connect, { get(it) }, RawConnection::reset))
            val post = { id: String -> post(id, BODY_BYTES) }
            assertEquals(emptyList(), passedOn(connect, post, RawConnection::close))
        }
    }

    /** Guards against requests that the loop sends late, before it looks whether callers left. */
    @Test
    fun `no request is sent if its caller closed before the loop came to send it`() {
        val endpoint = fixture.endpoint { connection ->
            generateSequence { connection.readMessage().ifEmpty { null } }.forEach { message ->
                val id = message.substringAfter("X-Id: ").substringBefore("\r\n")
                received += id
                connection.write(responseTo(id))
            }
        }
        for (id in listOf("on a new connection", "on a kept connection")) {
            val gone = fixture.call(get(id))
            val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
            fixture.whileLoopIsOccupied {
                gone.close()
                fixture.send(arrived, endpoint.address)
            }
            assertEquals(arrived.request, fixture.nextEvent<ForwardEvent.CallerLeft>().request)
            serveOne(endpoint)
        }
        assertEquals(listOf("served", "served"), received.toList())
    }

    /** Guards against a close that is not read, because nothing more of its caller is. */
    @Test
    fun `a caller that leaves is noticed, however many requests it has pipelined`() {
        val caller = fixture.call(get("1") + get("2").repeat(PIPELINED_REQUESTS))
        val first = fixture.nextEvent<ForwardEvent.Arrived>()
        Thread.sleep(TrafficFixture.SETTLE_MILLISECONDS)
        caller.close()
        assertEquals(first.request, fixture.nextEvent<ForwardEvent.CallerLeft>().request)
    }

    /** Guards against a request that the kernel delivers after its caller has left. */
    @Test
    fun `an endpoint that reads late does not get the rest of a request that was given up`() {
        val mayRead = CountDownLatch(1)
        val readLate = { connection: RawConnection ->
            mayRead.await()
            received += connection.readAll().orEmpty()
        }
        val endpoint = fixture.endpoint(readLate, SMALL_BUFFER_BYTES)
        val caller = fixture.call(post("1", LONG_BODY_BYTES))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address)
        fixture.awaitConnections(endpoint, 1)
        caller.close()
        fixture.nextEvent<ForwardEvent.CallerLeft>()
        Thread.sleep(TrafficFixture.SETTLE_MILLISECONDS)
        mayRead.countDown()
        val text = assertNotNull(received.poll(TrafficFixture.WAIT_SECONDS, TimeUnit.SECONDS))
        assertTrue(text.count { it == 'x' } < LONG_BODY_BYTES, "${text.length} characters")
    }

    private fun serveOne(endpoint: StubEndpoint) {
        val caller = fixture.call(get("served"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address)
        fixture.awaitAttemptEnd(arrived.request)
        caller.readMessage()
    }

    private companion object {
        const val CALLERS = 8
        const val PIPELINED_REQUESTS = 100

        /** Fits into the receive buffer of a socket, so that a close behind it gets through. */
        const val BODY_BYTES = 30_000
        const val LONG_BODY_BYTES = 100_000
        const val SMALL_BUFFER_BYTES = 4096
        val WAIT = 400.milliseconds
    }
}
