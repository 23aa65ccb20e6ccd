/*
 * Opens and accepts connections between processes.
 */
package org.gypsumroute.wire

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.withTimeoutOrNull
import org.gypsumroute.api.ConnectionId

/**
 * Connects this process, described by [hello], with peers that hold the same [sharedKey].
 *
 * Connections live in [scope] and report to [receiver]. [handshakeFailed] is called for inbound
 * connections that fail before [receiver] hears of them, with the remote address.
 */
class PeerTransport(
    hello: PeerHello,
    sharedKey: ByteArray,
    scope: CoroutineScope,
    private val receiver: PeerReceiver,
    private val settings: PeerTransportSettings = PeerTransportSettings(),
    private val handshakeFailed: (String, PeerTransportError) -> Unit = { _, _ -> }
) {
    private val lifetime = SupervisorJob(scope.coroutineContext[Job])
    private val scope = scope + lifetime
    private val selecting = SupervisorJob()
    private val selector = SelectorManager(Dispatchers.IO + selecting)
    private val handshake = Handshake(hello, sharedKey)
    private val counters = TransportCounters()
    private val connectionIds = AtomicLong()
    private val inbound = AtomicInteger()
    private val open = OpenConnections()

    init {
        lifetime.invokeOnCompletion { selector.close() }
    }

    /** Totals of all connections since the transport was created. */
    fun totals(): TransportTotals = counters.totals()

    /** Opens a connection; `PeerReceiver.connected` may be called before this returns. */
    suspend fun connect(address: String, port: Int): Either<PeerTransportError, PeerConnection> =
        openSocket(address, port).flatMap { socket ->
            shakeHands(socket, HandshakeSide.CONNECTING).map { it.first }
        }

    /**
     * Accepts connections until the transport stops and returns the bound port. Throws IOException
     * if the address is in use; a port of 0 chooses a free one.
     */
    suspend fun listen(address: String, port: Int): Int {
        // SO_REUSEADDR lets a successor bind while old connections linger in TIME_WAIT; unlike
        // SO_REUSEPORT it does not admit a second listener.
        val server = aSocket(selector).tcp().bind(address, port) {
            reuseAddress = true
            backlogSize = BACKLOG
        }
        scope.launch { acceptAll(server) }.invokeOnCompletion { server.close() }
        return server.port
    }

    /**
     * Closes all connections after their queued control messages and stops listening. A closed
     * listener keeps its port until the selector has let go of it, so this waits for its end.
     */
    suspend fun stop() {
        open.closeAll().joinAll()
        lifetime.cancelAndJoin()
        selecting.children.toList().joinAll()
    }

    private suspend fun openSocket(address: String, port: Int): Either<PeerTransportError, Socket> =
        withTimeoutOrNull(settings.connectTime) {
            try {
                aSocket(selector).tcp().connect(address, port) {
                    noDelay = true
                    sendBufferSize = settings.socketBufferBytes
                    receiveBufferSize = settings.socketBufferBytes
                }.right()
            } catch (exception: CancellationException) {
                throw exception
            } catch (exception: Exception) {
                PeerTransportError.Unreachable("$address:$port: ${exception.message}").left()
            }
        } ?: PeerTransportError.Unreachable("$address:$port: no answer").left()

    private suspend fun acceptAll(server: ServerSocket) {
        while (true) {
            val socket = try {
                server.accept()
            } catch (exception: IOException) {
                // For example no free file descriptor; a retry at once would spin.
                delay(acceptRetryDelay)
                continue
            }
            if (inbound.incrementAndGet() > settings.inboundConnections) {
                inbound.decrementAndGet()
                reject(socket)
            } else {
                scope.launch { serve(socket) }.invokeOnCompletion { inbound.decrementAndGet() }
            }
        }
    }

    private fun reject(socket: Socket) {
        val limit = settings.inboundConnections
        val error = PeerTransportError.HandshakeRefused("more than $limit inbound connections")
        handshakeFailed(socket.remoteAddress.toString(), error)
        socket.close()
    }

    private suspend fun serve(socket: Socket) {
        val remote = socket.remoteAddress.toString()
        shakeHands(socket, HandshakeSide.LISTENING).fold(
            { handshakeFailed(remote, it) },
            { (_, job) -> job.join() }
        )
    }

    private suspend fun shakeHands(
        socket: Socket,
        side: HandshakeSide
    ): Either<PeerTransportError, Pair<PeerConnection, Job>> {
        val channel = FrameChannel(socket)
        var kept = false
        try {
            return withTimeoutOrNull(settings.handshakeTime) { tryHandshake(channel, side) }
                .let { it ?: PeerTransportError.HandshakeTimeout("no proof in time").left() }
                .map { start(it, channel) }
                .onRight { kept = true }
        } finally {
            if (!kept) channel.abort()
        }
    }

    private suspend fun tryHandshake(
        channel: FrameChannel,
        side: HandshakeSide
    ): Either<PeerTransportError, PeerHello> = try {
        handshake.perform(channel, side).mapLeft { PeerTransportError.HandshakeRefused(it.detail) }
    } catch (exception: IOException) {
        PeerTransportError.HandshakeRefused("the peer closed the connection").left()
    }

    private fun start(peer: PeerHello, channel: FrameChannel): Pair<PeerConnection, Job> {
        val id = ConnectionId(connectionIds.incrementAndGet())
        val connection =
            SocketPeerConnection(id, peer, channel, receiver, counters, settings)
        val job = connection.start(scope)
        open.add(connection, job)
        return connection to job
    }

    private companion object {
        const val BACKLOG = 1024
        val acceptRetryDelay = 100.milliseconds
    }
}
