/*
 * What a planned stop does to the connections of callers.
 */
package org.gypsumroute.gateway

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent

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
}
