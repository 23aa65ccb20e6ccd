/*
 * Connections over loopback sockets.
 */
package org.gypsumroute.wire

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PeerMessage

class PeerTransportTest {
    private val lease = LeaseId("entry-1/1/1")

    @Test
    fun `messages pass both ways with the peers' identities`() = withPair {
        val (entrySide, agentSide) = connected()
        assertEquals(testHello("agent-1", NodeRole.AGENT), entrySide.peer)
        assertEquals(testHello("entry-1", NodeRole.ENTRY), agentSide.peer)
        assertTrue(entrySide.sendControl(PeerMessage.LeaseRelease(lease)))
        assertEquals(PeerMessage.LeaseRelease(lease), agentReceiver.arrived.receive())
        agentSide.sendData(DataFrame.AnswerAcknowledge(lease, 7))
        assertEquals(DataFrame.AnswerAcknowledge(lease, 7), entryReceiver.arrived.receive())
        val sent = entry.totals().controlSent
        assertEquals(FrameTotals(1, sent.bytes), sent)
        assertEquals(sent, agent.totals().controlReceived)
        assertEquals(agent.totals().dataSent, entry.totals().dataReceived)
    }

    @Test
    fun `a peer with another key is refused on both sides`() =
        withPair(agentKey = "other".toByteArray()) {
            assertIs<PeerTransportError.HandshakeRefused>(connect().leftOrNull())
            assertIs<PeerTransportError.HandshakeRefused>(failures.receive())
            assertEquals(0, agentReceiver.closedCalls.get())
            assertTrue(agentReceiver.connected.tryReceive().isFailure)
        }
}
