/*
 * Opens and accepts authenticated connections between processes.
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
 * Connects this process, identified by [hello], with peers that hold the same [sharedKey].
 *
 * The coroutines of connections run in [scope] and report to [receiver]. [onHandshakeFailed] is
 * called with the remote address of each inbound connection that is refused or fails its handshake;
 * [receiver] is not notified of such connections.
 */
class PeerTransport(
    hello: PeerHello,
    sharedKey: ByteArray,
    scope: CoroutineScope,
    private val receiver: PeerReceiver,
    private val settings: PeerTransportSettings = PeerTransportSettings(),
    private val onHandshakeFailed: (String, PeerTransportError) -> Unit = { _, _ -> }
) {
    private val transportJob = SupervisorJob(scope.coroutineContext[Job])
    private val scope = scope + transportJob
    private val selectorJob = SupervisorJob()
    private val selector = SelectorManager(Dispatchers.IO + selectorJob)
    private val handshake = Handshake(hello, sharedKey)
    private val counters = TransportCounters()
    private val connectionIds = AtomicLong()
    private val inboundCount = AtomicInteger()
    private val openConnections = OpenConnections()

    init {
        transportJob.invokeOnCompletion { selector.close() }
    }

    /** Frames and bytes of all connections since the transport was created. */
    fun totals(): TransportTotals = counters.totals()

    /** Opens a connection. `PeerReceiver.onConnected` may be called before this returns. */
    suspend fun connect(address: String, port: Int): Either<PeerTransportError, PeerConnection> =
        openSocket(address, port).flatMap { socket ->
            performHandshake(socket, HandshakeSide.CONNECTING).map { it.connection }
        }

    /**
     * Starts to accept connections, until the transport stops, and returns the bound port. A [port]
     * of 0 selects a free one. Throws IOException if the address is in use.
     */
    suspend fun listen(address: String, port: Int): Int {
        // SO_REUSEADDR lets a restarted process bind while connections of its predecessor are in
        // TIME_WAIT. Unlike SO_REUSEPORT it does not permit two listeners on the same port.
        val server = aSocket(selector).tcp().bind(address, port) {
            reuseAddress = true
            backlogSize = ACCEPT_BACKLOG
        }
        scope.launch { acceptConnections(server) }.invokeOnCompletion { server.close() }
        return server.port
    }

    /**
     * Stops listening and closes all connections, which first send their queued control messages.
     * The port of a closed listener stays in use until the selector has released it, so this also
     * waits for the selector.
     */
    suspend fun stop() {
        openConnections.closeAll().joinAll()
        transportJob.cancelAndJoin()
        selectorJob.children.toList().joinAll()
    }

    private suspend fun openSocket(address: String, port: Int): Either<PeerTransportError, Socket> =
        withTimeoutOrNull(settings.connectTimeout) {
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

    private suspend fun acceptConnections(server: ServerSocket) {
        while (true) {
            val socket = try {
                server.accept()
            } catch (exception: IOException) {
                // For example, the process is out of file descriptors. Retrying without a delay
                // would be a busy loop.
                delay(acceptRetryDelay)
                continue
            }
            if (inboundCount.incrementAndGet() > settings.maxInboundConnections) {
                inboundCount.decrementAndGet()
                reject(socket)
            } else {
                scope.launch {
                    serveInbound(socket)
                }.invokeOnCompletion { inboundCount.decrementAndGet() }
            }
        }
    }

    private fun reject(socket: Socket) {
        val limit = settings.maxInboundConnections
        val error = PeerTransportError.HandshakeRefused("more than $limit inbound connections")
        onHandshakeFailed(socket.remoteAddress.toString(), error)
        socket.close()
    }

    private suspend fun serveInbound(socket: Socket) {
        val remote = socket.remoteAddress.toString()
        performHandshake(socket, HandshakeSide.LISTENING).fold(
            { onHandshakeFailed(remote, it) },
            { it.job.join() }
        )
    }

    private suspend fun performHandshake(
        socket: Socket,
        side: HandshakeSide
    ): Either<PeerTransportError, StartedConnection> {
        val channel = FrameChannel(socket)
        var established = false
        try {
            return withTimeoutOrNull(settings.handshakeTimeout) { tryHandshake(channel, side) }
                .let { it ?: PeerTransportError.HandshakeTimeout("no proof in time").left() }
                .map { startConnection(it, channel) }
                .onRight { established = true }
        } finally {
            if (!established) channel.abort()
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

    private fun startConnection(peer: PeerHello, channel: FrameChannel): StartedConnection {
        val id = ConnectionId(connectionIds.incrementAndGet())
        val connection =
            SocketPeerConnection(id, peer, channel, receiver, counters, settings)
        val job = connection.start(scope)
        openConnections.add(connection, job)
        return StartedConnection(connection, job)
    }

    private companion object {
        const val ACCEPT_BACKLOG = 1024
        val acceptRetryDelay = 100.milliseconds
    }
}

/** An open connection, and the [job] that runs until it is closed. */
private class StartedConnection(val connection: PeerConnection, val job: Job)
