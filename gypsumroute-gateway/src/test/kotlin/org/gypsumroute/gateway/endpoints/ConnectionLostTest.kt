/*
 * Which ends of attempts count as a lost connection. Guards against ends of endpoints that are
 * taken for unusable answers, and the other way round.
 */
package org.gypsumroute.gateway.endpoints

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.gateway.forwarding.RawConnection
import org.gypsumroute.gateway.forwarding.TrafficFixture
import org.gypsumroute.gateway.forwarding.chunk
import org.gypsumroute.gateway.forwarding.get
import org.gypsumroute.gateway.forwarding.streamHeadFor

class ConnectionLostTest {
    private val fixture = TrafficFixture()

    @AfterTest
    fun close() = fixture.close()

    private fun outcomeOf(
        begins: Boolean = false,
        script: (RawConnection) -> Unit
    ): AttemptOutcome {
        val endpoint = fixture.endpoint(script)
        fixture.call(get("1"))
        val arrived = fixture.nextEvent<ForwardEvent.Arrived>()
        fixture.send(arrived, endpoint.address, streaming = true)
        if (begins) assertIs<ForwardEvent.StreamBegun>(fixture.nextEvent())
        return fixture.awaitAttemptEnd(arrived.request).outcome
    }

    @Test
    fun `a connection that is closed or reset before an answer counts as lost`() {
        val ends = listOf<(RawConnection) -> Unit>({ it.close() }, { it.reset() })
        for (end in ends) {
            val outcome = outcomeOf {
                it.readMessage()
                end(it)
            }
            assertEquals(true, assertIs<AttemptOutcome.Lost>(outcome).connectionLost)
        }
    }

    @Test
    fun `a connection that is closed within an answer counts as lost`() {
        val outcome = outcomeOf(begins = true) {
            it.readMessage()
            it.write(streamHeadFor("1") + chunk("id: 1\ndata: a\n\n"))
            it.close()
        }
        assertEquals(true, assertIs<AttemptOutcome.Broken>(outcome).connectionLost)
    }

    @Test
    fun `an answer that is not HTTP does not count as a lost connection`() {
        val outcome = outcomeOf {
            it.readMessage()
            it.write("nonsense\r\n\r\n")
        }
        assertEquals(false, assertIs<AttemptOutcome.Lost>(outcome).connectionLost)
    }
}
