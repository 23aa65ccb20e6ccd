/*
 * Tests of connections between two transports over loopback sockets.
 */
package org.gypsumroute.wire

import java.io.IOException
import java.net.BindException
import java.net.ServerSocket
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PeerMessage

class PeerTransportTest {
    private val lease = LeaseId("entry-1/1/1")
    private val release = PeerMessage.LeaseRelease(lease)
    private val shortHandshakeTimeout = PeerTransportSettings(handshakeTimeout = 100.milliseconds)
    private val shortFlushTimeout = PeerTransportSettings(flushTimeout = 50.milliseconds)

    private fun chunk(sequence: Int) =
        DataFrame.PromptChunk(lease, sequence, ByteArray(MAX_DATA_PAYLOAD_BYTES), last = false)

    @Test
    fun `connected peers know each other's identity and exchange messages`() = withTransportPair {
        val (entrySide, agentSide) = connectedPair()
        assertEquals(testHello("agent-1", NodeRole.AGENT), entrySide.peer)
        assertEquals(testHello("entry-1", NodeRole.ENTRY), agentSide.peer)
        assertTrue(entrySide.sendControl(release))
        assertEquals(release, agentReceiver.received.receive())
        agentSide.sendData(DataFrame.AnswerAcknowledge(lease, 7))
        assertEquals(DataFrame.AnswerAcknowledge(lease, 7), entryReceiver.received.receive())
        val received = agent.totals().controlReceived
        assertEquals(FrameTotals(1, encodeControl(release).size.toLong()), received)
        assertEquals(1, entry.totals().dataReceived.frames)
    }

    @Test
    fun `both sides refuse a peer with another key`() =
        withTransportPair(agentKey = "other".toByteArray()) {
            assertIs<PeerTransportError.HandshakeRefused>(connect().leftOrNull())
            assertIs<PeerTransportError.HandshakeRefused>(failures.receive())
            assertTrue(agentReceiver.connected.tryReceive().isFailure)
            assertEquals(0, agentReceiver.closedCalls.get())
        }

    @Test
    fun `a peer that reflects hello and proof is refused`() = withTransportPair {
        ServerSocket(0).use { server ->
            val result = coroutineScope {
                val connecting =
                    async(Dispatchers.Default) { entry.connect(LOOPBACK, server.localPort) }
                server.accept().use { socket ->
                    socket.getInputStream().copyTo(socket.getOutputStream())
                }
                connecting.await()
            }
            assertIs<PeerTransportError.HandshakeRefused>(result.leftOrNull())
        }
    }

    @Test
    fun `a handshake with a silent peer times out on either side`() =
        withTransportPair(shortHandshakeTimeout) {
            ServerSocket(0).use { server ->
                val error = entry.connect(LOOPBACK, server.localPort).leftOrNull()
                assertIs<PeerTransportError.HandshakeTimeout>(error)
            }
            Socket(LOOPBACK, agent.listen(LOOPBACK, 0)).use {
                assertIs<PeerTransportError.HandshakeTimeout>(failures.receive())
            }
        }

    @Test
    fun `connecting to a port without a listener fails as unreachable`() = withTransportPair {
        val port = ServerSocket(0).use { it.localPort }
        assertIs<PeerTransportError.Unreachable>(entry.connect(LOOPBACK, port).leftOrNull())
    }

    @Test
    fun `a second listener on a port fails so that none starts beside a paused process`() =
        withTransportPair {
            val port = agent.listen(LOOPBACK, 0)
            assertFailsWith<BindException> { entry.listen(LOOPBACK, port) }
        }

    @Test
    fun `a stopped transport releases its port`() = withTransportPair {
        val port = agent.listen(LOOPBACK, 0)
        assertTrue(entry.connect(LOOPBACK, port).isRight())
        agent.stop()
        assertEquals(port, entry.listen(LOOPBACK, port))
    }

    @Test
    fun `queued messages arrive before a close and each side is notified of it once`() =
        withTransportPair {
            val (entrySide, agentSide) = connectedPair()
            val messages = List(500) { PeerMessage.LeaseRelease(LeaseId("entry-1/1/$it")) }
            messages.forEach { assertTrue(entrySide.sendControl(it)) }
            entrySide.close()
            entrySide.close()
            assertFalse(entrySide.sendControl(release))
            assertFailsWith<IOException> { entrySide.sendData(chunk(0)) }
            assertEquals(messages, List(500) { agentReceiver.received.receive() })
            assertEquals("closed by the peer", agentReceiver.closed.receive())
            assertEquals("closed by this process", entryReceiver.closed.receive())
            agentSide.close()
            entry.stop()
            agent.stop()
            assertEquals(1, entryReceiver.closedCalls.get())
            assertEquals(1, agentReceiver.closedCalls.get())
        }

    @Test
    fun `inbound connections beyond the limit are refused until another ends`() =
        withTransportPair(PeerTransportSettings(maxInboundConnections = 1)) {
            val port = agent.listen(LOOPBACK, 0)
            val first = entry.connect(LOOPBACK, port).getOrNull()
            assertTrue(entry.connect(LOOPBACK, port).isLeft())
            assertIs<PeerTransportError.HandshakeRefused>(failures.receive())
            first?.close()
            agentReceiver.closed.receive()
            // The connection is counted until shortly after its close is reported.
            // The time limit of withTransportPair bounds this loop.
            while (entry.connect(LOOPBACK, port).isLeft()) failures.receive()
        }

    @Test
    fun `a control message is sent before data that waits for a slow peer`() = withTransportPair {
        val frames = 400
        val peer = NonReadingPeer.listen()
        coroutineScope {
            val accepted = async { peer.accept() }
            val connection = entry.connect(LOOPBACK, peer.port).getOrNull()!!
            val channel = accepted.await()
            val senders = List(frames) {
                launch(start = CoroutineStart.UNDISPATCHED) { connection.sendData(chunk(it)) }
            }
            assertTrue(connection.sendControl(release))
            val position = List(frames + 1) { channel.read().getOrNull()!![1] }
                .indexOf(FrameKind.LEASE_RELEASE.code)
            assertTrue(position in 0..100, "behind $position of $frames data frames")
            senders.forEach { it.join() }
        }
    }

    @Test
    fun `a peer that stopped reading blocks neither other connections nor its own close`() =
        withTransportPair(shortFlushTimeout) {
            val peer = NonReadingPeer.listen()
            val healthy = connectedPair()
            coroutineScope {
                val accepted = async { peer.accept() }
                val unresponsive = entry.connect(LOOPBACK, peer.port).getOrNull()!!
                accepted.await()
                // More senders than the dispatcher for blocking work has threads, so that senders
                // that block a thread would block the other connection, too.
                val senders = List(200) {
                    async(start = CoroutineStart.UNDISPATCHED) {
                        runCatching { unresponsive.sendData(chunk(it)) }
                    }
                }
                healthy.first.sendControl(release)
                assertEquals(release, agentReceiver.received.receive())
                unresponsive.close()
                assertEquals("closed by this process", entryReceiver.closed.receive())
                val failures = senders.awaitAll().mapNotNull { it.exceptionOrNull() }
                assertTrue(failures.isNotEmpty() && failures.all { it is IOException }, "$failures")
            }
        }

    @Test
    fun `the queue of control messages for a peer that stopped reading is bounded`() =
        withTransportPair(shortFlushTimeout.copy(controlQueueCapacity = 10)) {
            val peer = NonReadingPeer.listen()
            coroutineScope {
                val accepted = async { peer.accept() }
                val unresponsive = entry.connect(LOOPBACK, peer.port).getOrNull()!!
                accepted.await()
                val renewal = PeerMessage.LeaseRenewal(List(10_000) { lease })
                var sent = 0
                while (unresponsive.sendControl(renewal)) sent++
                assertTrue(sent < 1000, "$sent")
                assertEquals(
                    "10 control messages wait for the peer",
                    entryReceiver.closed.receive()
                )
            }
        }

    @Test
    fun `a frame that breaks the protocol closes the connection and reports the cause`() =
        withTransportPair {
            for ((bytes, cause) in mapOf(
                byteArrayOf(0x7f, 0, 0, 0) to "frame length 2130706432 is outside 2 to 1048578",
                byteArrayOf(0, 0, 0, 2, 9, 16) to "unknown version 9",
                byteArrayOf(0, 0, 0, 2, 1, 16) to "undecodable HEARTBEAT: "
            )) {
                val peer = NonReadingPeer.listen()
                coroutineScope {
                    val accepted = async { peer.accept() }
                    assertTrue(entry.connect(LOOPBACK, peer.port).isRight())
                    accepted.await().write(bytes)
                    val reported = entryReceiver.closed.receive()
                    assertTrue(reported.startsWith(cause), reported)
                }
            }
        }
}
