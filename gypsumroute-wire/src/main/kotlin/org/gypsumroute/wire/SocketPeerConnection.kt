/*
 * A connection after its handshake: one coroutine reads, one writes.
 *
 * The writer takes control messages before data frames. A data frame is handed over directly, so
 * that a sender of data suspends until the socket takes its frame, and at most one data frame plus
 * the socket's buffers are ahead of a control message.
 */
package org.gypsumroute.wire

import java.io.IOException
import java.util.concurrent.atomic.AtomicReference
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.EOFException
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.PeerMessage

internal class SocketPeerConnection(
    override val id: ConnectionId,
    override val peer: PeerHello,
    private val channel: FrameChannel,
    private val receiver: PeerReceiver,
    private val counters: TransportCounters,
    private val settings: PeerTransportSettings
) : PeerConnection {
    private val control = Channel<PeerMessage>(settings.controlQueue)
    private val data = Channel<ByteArray>(Channel.RENDEZVOUS)
    private val cause = AtomicReference<String?>()
    private val closing = Job()

    override fun sendControl(message: PeerMessage): Boolean {
        val result = control.trySend(message)
        if (result.isFailure && !result.isClosed) {
            closeWith("${settings.controlQueue} control messages wait for the peer")
        }
        return result.isSuccess
    }

    override suspend fun sendData(frame: DataFrame) {
        val bytes = encodeData(frame)
        try {
            data.send(bytes)
        } catch (exception: CancellationException) {
            currentCoroutineContext().ensureActive()
            throw IOException(closedText(), exception)
        }
    }

    override fun close() = closeWith("closed by this process")

    /** Serves the connection until it ends; calls `connected` first and `closed` last. */
    @OptIn(ExperimentalCoroutinesApi::class)
    fun start(scope: CoroutineScope): Job = scope.launch(start = CoroutineStart.ATOMIC) {
        try {
            receiver.onConnected(this@SocketPeerConnection)
            serve()
        } catch (exception: CancellationException) {
            closeWith("the transport stopped")
            throw exception
        } catch (exception: Exception) {
            closeWith(describe(exception))
        } finally {
            closeWith("ended")
            control.cancel()
            channel.abort()
            receiver.onClosed(this@SocketPeerConnection, closedText())
        }
    }

    private suspend fun serve() = coroutineScope {
        val reader = launch { readUntilClosed() }
        val writer = launch {
            write()
            channel.finish()
        }
        closing.join()
        withTimeoutOrNull(settings.flushTime) { writer.join() }
        // The writer of a peer that stopped reading is suspended in the channel.
        channel.abort()
        writer.cancel()
        reader.cancel()
    }

    /** Whatever ends reading also closes the connection, so that the writer ends too. */
    private suspend fun readUntilClosed() {
        try {
            read()
        } catch (exception: CancellationException) {
            closeWith("reading was cancelled")
            throw exception
        } catch (exception: Exception) {
            closeWith(describe(exception))
        }
    }

    /** Keeps the first cause. Queued control messages may still be sent for `flushTime`. */
    private fun closeWith(text: String) {
        if (!cause.compareAndSet(null, text)) return
        control.close()
        data.cancel()
        closing.complete()
    }

    private fun closedText(): String = cause.get() ?: "closed"

    private fun describe(exception: Exception): String = if (exception is EOFException) {
        "closed by the peer"
    } else {
        exception.message?.let { "${exception::class.simpleName}: $it" }
            ?: exception::class.simpleName.orEmpty()
    }

    private suspend fun read() {
        while (true) {
            val bytes = channel.read().fold({ return closeWith(it.detail) }, { it })
            val frame = decodeFrame(bytes).fold({ return closeWith(it.detail) }, { it })
            val size = bytes.size + LENGTH_BYTES
            when (frame) {
                is Frame.Control -> {
                    counters.controlReceived.add(size)
                    receiver.onControlMessage(this, frame.message)
                }

                is Frame.Data -> {
                    counters.dataReceived.add(size)
                    receiver.onDataFrame(this, frame.frame)
                }
            }
        }
    }

    /** Returns once the connection is closed and its control messages are written. */
    private suspend fun write() {
        while (true) {
            val written = select {
                control.onReceiveCatching { result ->
                    result.getOrNull()?.let { writeControl(encodeControl(it)) } != null
                }
                data.onReceiveCatching { result ->
                    result.getOrNull()?.let { writeData(it) } != null
                }
            }
            if (!written) return drainControl()
        }
    }

    private suspend fun drainControl() {
        while (true) {
            val message = control.tryReceive().getOrNull() ?: return
            writeControl(encodeControl(message))
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun writeControl(frame: ByteArray) {
        channel.write(frame, flush = control.isEmpty)
        counters.controlSent.add(frame.size)
    }

    private suspend fun writeData(frame: ByteArray) {
        channel.write(frame)
        counters.dataSent.add(frame.size)
    }
}
