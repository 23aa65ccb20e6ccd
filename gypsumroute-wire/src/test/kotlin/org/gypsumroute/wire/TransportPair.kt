/*
 * Two transports on the loopback interface, and a receiver that records its calls.
 */
package org.gypsumroute.wire

import arrow.core.Either
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PeerMessage

internal const val LOOPBACK = "127.0.0.1"

internal class RecordingReceiver : PeerReceiver {
    val connected = Channel<PeerConnection>(Channel.UNLIMITED)
    val received = Channel<Any>(Channel.UNLIMITED)
    val closed = Channel<String>(Channel.UNLIMITED)
    val closedCalls = AtomicInteger()

    override fun onConnected(connection: PeerConnection) {
        connected.trySend(connection)
    }

    override fun onControlMessage(connection: PeerConnection, message: PeerMessage) {
        received.trySend(message)
    }

    override fun onDataFrame(connection: PeerConnection, frame: DataFrame) {
        received.trySend(frame)
    }

    override fun onClosed(connection: PeerConnection, cause: String) {
        closedCalls.incrementAndGet()
        closed.trySend(cause)
    }
}

internal fun testHello(host: String, role: NodeRole) =
    PeerHello(HostId(host), IncarnationId("$host#1"), role, DataCentreId("thamel"))

internal class TransportPair(
    scope: CoroutineScope,
    settings: PeerTransportSettings,
    agentKey: ByteArray
) {
    val failures = Channel<PeerTransportError>(Channel.UNLIMITED)
    val entryReceiver = RecordingReceiver()
    val agentReceiver = RecordingReceiver()
    val entry = PeerTransport(
        testHello("entry-1", NodeRole.ENTRY),
        "shared".toByteArray(),
        scope,
        entryReceiver,
        settings
    )
    val agent = PeerTransport(
        testHello("agent-1", NodeRole.AGENT),
        agentKey,
        scope,
        agentReceiver,
        settings
    ) { _, error -> failures.trySend(error) }

    suspend fun connect(): Either<PeerTransportError, PeerConnection> =
        entry.connect(LOOPBACK, agent.listen(LOOPBACK, 0))

    suspend fun connectedPair(): Pair<PeerConnection, PeerConnection> {
        val entrySide = connect().fold({ error("$it") }, { it })
        return entrySide to agentReceiver.connected.receive()
    }
}

internal fun withTransportPair(
    settings: PeerTransportSettings = PeerTransportSettings(),
    agentKey: ByteArray = "shared".toByteArray(),
    test: suspend TransportPair.() -> Unit
) {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    try {
        runBlocking {
            withTimeout(10.seconds) { TransportPair(scope, settings, agentKey).test() }
        }
    } finally {
        scope.cancel()
    }
}
