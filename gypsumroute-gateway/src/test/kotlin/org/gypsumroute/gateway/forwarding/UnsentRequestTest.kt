/*
 * Requests that are not sent, or whose attempt is given up before an answer.
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

class UnsentRequestTest {
    private val fixture = TrafficFixture()

    @AfterTest
    fun close() = fixture.close()

    @Test
    fun `a request whose connection is refused counts as never sent`() {
        val endpoint = fixture.endpoint { }
        endpoint.close()
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address)
        assertIs<AttemptOutcome.NeverSent>(fixture.awaitAttemptEnd(arrived.request).outcome)
    }

    /** Guards against an attempt without an end if its endpoint's id cannot be sent in a header. */
    @Test
    fun `a request that cannot be written to a new connection counts as never sent`() {
        val endpoint = fixture.endpoint { it.readMessage() }
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, endpointId = "e\n1")
        assertIs<AttemptOutcome.NeverSent>(fixture.awaitAttemptEnd(arrived.request).outcome)
    }

    @Test
    fun `connecting to an address that drops packets times out`() {
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, EndpointAddress("192.0.2.1", 9))
        assertIs<AttemptOutcome.NeverSent>(fixture.awaitAttemptEnd(arrived.request).outcome)
    }

    @Test
    fun `a request whose deadline has passed before it is written is not sent`() {
        val endpoint = fixture.endpoint { it.readMessage() }
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, remaining = 0.milliseconds)
        assertIs<AttemptOutcome.NeverSent>(fixture.awaitAttemptEnd(arrived.request).outcome)
    }

    /** An endpoint must not continue to work for a caller that has disconnected. */
    @Test
    fun `the connection to the endpoint is closed when the caller disconnects`() {
        val endpoint = fixture.endpoint { }
        val caller = fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address)
        val upstream = endpoint.connections.take()
        upstream.readMessage()
        caller.close()
        assertTrue(upstream.isReset())
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
        assertTrue(upstream.isReset())
        assertTrue(fixture.hasNoEvent())
    }
}
