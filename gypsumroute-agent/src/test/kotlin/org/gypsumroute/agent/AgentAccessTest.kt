/*
 * Guards against agents that accept connections, and so work, from processes that don't hold the
 * shared key of the fleet.
 */
package org.gypsumroute.agent

import java.net.Socket
import java.net.SocketException
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.RegionId
import org.gypsumroute.process.NodeSettings
import org.gypsumroute.process.SharedKey
import org.gypsumroute.runtime.LogFormat
import org.gypsumroute.wire.DataFrame
import org.gypsumroute.wire.PeerConnection
import org.gypsumroute.wire.PeerHello
import org.gypsumroute.wire.PeerReceiver
import org.gypsumroute.wire.PeerTransport
import org.gypsumroute.wire.PeerTransportError
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

class AgentAccessTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val agent = AgentProcess(settings()) {}.also { it.start() }

    @AfterEach
    fun stop() {
        agent.stop()
        scope.cancel()
    }

    @Test
    fun `a wrong shared key is refused and the right one is accepted`() = runBlocking {
        for (key in listOf("another-key-of-a-fleet", "key-of-this-fleet", "")) {
            assertIs<PeerTransportError.HandshakeRefused>(connect("$key ").leftOrNull(), key)
        }
        assertTrue(connect(KEY).isRight())
    }

    @Test
    fun `a connection that sends bytes without a handshake is closed`() {
        Socket("127.0.0.1", agent.port).use { socket ->
            socket.soTimeout = 10.seconds.inWholeMilliseconds.toInt()
            socket.getOutputStream().write(ByteArray(5) + "GET / HTTP/1.1\r\n\r\n".toByteArray())
            val received = try {
                socket.getInputStream().read()
            } catch (_: SocketException) {
                -1 // A connection reset also counts as closed.
            }
            assertEquals(-1, received)
        }
    }

    private suspend fun connect(key: String) = PeerTransport(
        PeerHello(
            HostId("entry-1"),
            IncarnationId("entry-1#1"),
            NodeRole.ENTRY,
            DataCentreId("thamel")
        ),
        key.toByteArray(),
        scope,
        IgnoringReceiver
    ).connect("127.0.0.1", agent.port)

    private object IgnoringReceiver : PeerReceiver {
        override fun onConnected(connection: PeerConnection) = Unit
        override fun onControlMessage(connection: PeerConnection, message: PeerMessage) = Unit
        override fun onDataFrame(connection: PeerConnection, frame: DataFrame) = Unit
        override fun onClosed(connection: PeerConnection, cause: String) = Unit
    }

    private fun settings() = AgentSettings(
        node = NodeSettings(
            host = HostId("agent-1"),
            region = RegionId("bagmati"),
            dataCentre = DataCentreId("thamel"),
            configurationUrl = UNREACHABLE_URL,
            hostListUrl = UNREACHABLE_URL,
            sharedKey = SharedKey(KEY.toByteArray()),
            logFormat = LogFormat.JSON,
            drainLimit = 1.seconds
        ),
        pool = PoolId("menu-engines"),
        listenAddress = "127.0.0.1",
        listenPort = 0,
        backEnd = BackEnd.Engine(UNREACHABLE_URL)
    )

    private companion object {
        const val KEY = "key-of-this-fleet"
        const val UNREACHABLE_URL = "http://127.0.0.1:1"
    }
}
