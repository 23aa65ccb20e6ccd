/*
 * What a planned stop does to the connections of callers.
 */
package org.gypsumroute.gateway.callers

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.first
import org.gypsumroute.gateway.forwarding.get
import org.gypsumroute.gateway.forwarding.responseTo

class PlannedStopTrafficTest {
    private val fixture = TrafficFixture()

    @AfterTest
    fun close() = fixture.close()

    private fun refuse(arrived: ForwardEvent.Arrived) = fixture.execute(
        ForwardEffect.Refuse(arrived.request, Failure(ErrorKind.DRAINING, "the gateway stops"))
    )

    private fun closes(response: String) = "connection: close" in response.lowercase()

    /** Guards against requests that were read and are dropped when the first response closes. */
    @Test
    fun `pipelined requests that were read have their responses before a planned stop closes`() {
        val caller = fixture.call(get("1") + get("2") + get("3"))
        val first = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.traffic.drain()
        refuse(first)
        assertFalse(closes(caller.readMessage()))
        refuse(fixture.nextEvent())
        assertFalse(closes(caller.readMessage()))
        refuse(fixture.nextEvent())
        assertContains(caller.readMessage().lowercase(), "connection: close")
        assertEquals("", caller.readAll())
    }

    /** Guards against a reset by late input, which takes the unread part of a response with it. */
    @Test
    fun `a caller that still sends when its connection closes can read its whole response`() {
        val endpoint = fixture.endpoint {
            it.readMessage()
            it.write(responseTo("1", body = "x".repeat(LONG_BODY_BYTES)))
        }
        val caller = fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.traffic.drain()
        fixture.send(arrived, endpoint.address)
        fixture.awaitAttemptEnd(arrived.request)
        Thread.sleep(300)
        caller.write(get("2"))
        val response = caller.readMessage()
        assertContains(response.lowercase(), "connection: close")
        assertEquals(LONG_BODY_BYTES, response.count { it == 'x' })
        assertEquals("", caller.readAll())
    }

    /** Guards against requests in the socket buffer that are lost with an idle connection. */
    @Test
    fun `a request that arrived before an idle connection closes is answered`() {
        val caller = fixture.call(get("1"))
        refuse(fixture.nextEvent())
        caller.readMessage()
        fixture.traffic.drain()
        fixture.whileLoopIsOccupied {
            fixture.execute(ForwardEffect.CloseIdleCallers)
            caller.write(get("2"))
        }
        refuse(fixture.nextEvent())
        assertContains(caller.readMessage().lowercase(), "connection: close")
        assertEquals("", caller.readAll())
    }

    private companion object {
        /** More than a caller's socket receives before the caller reads. */
        const val LONG_BODY_BYTES = 1_000_000
    }
}
