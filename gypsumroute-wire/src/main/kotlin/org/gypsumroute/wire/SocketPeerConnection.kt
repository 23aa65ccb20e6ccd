/*
 * A connection after its handshake, served by a reading and a writing coroutine.
 *
 * The writer takes control messages before data frames. Data frames pass to the writer through a
 * rendezvous channel without a buffer, so a sender suspends until the writer takes its frame, and a
 * control message waits for at most one data frame and the contents of the socket's buffers.
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
    private val queuedControl = Channel<PeerMessage>(settings.controlQueueCapacity)
    private val dataHandoff = Channel<ByteArray>(Channel.RENDEZVOUS)
    private val closeCause = AtomicReference<String?>()
    private val closeRequested = Job()

    override fun sendControl(message: PeerMessage): Boolean {
        val result = queuedControl.trySend(message)
        if (result.isFailure && !result.isClosed) {
            closeWith("${settings.controlQueueCapacity} control messages wait for the peer")
        }
        return result.isSuccess
    }

    override suspend fun sendData(frame: DataFrame) {
        val bytes = encodeData(frame)
        try {
            dataHandoff.send(bytes)
        } catch (exception: CancellationException) {
            currentCoroutineContext().ensureActive()
            throw IOException(closeCauseText(), exception)
        }
    }

    override fun close() = closeWith("closed by this process")

    /** Serves the connection until it ends. Calls `onConnected` first and `onClosed` last. */
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
            queuedControl.cancel()
            channel.abort()
            receiver.onClosed(this@SocketPeerConnection, closeCauseText())
        }
    }

    private suspend fun serve() = coroutineScope {
        val reader = launch { readUntilClosed() }
        val writer = launch {
            writeFrames()
            channel.finish()
        }
        closeRequested.join()
        withTimeoutOrNull(settings.flushTimeout) { writer.join() }
        // If the peer has stopped reading, the writer is suspended in a write to the channel.
        // Aborting the channel ends that write.
        channel.abort()
        writer.cancel()
        reader.cancel()
    }

    /**
     * Reads until the connection ends. Any failure closes the connection, so the writer ends too.
     */
    private suspend fun readUntilClosed() {
        try {
            readFrames()
        } catch (exception: CancellationException) {
            closeWith("reading was cancelled")
            throw exception
        } catch (exception: Exception) {
            closeWith(describe(exception))
        }
    }

    /**
     * Begins to close the connection. Only the first cause is kept. Queued control messages may
     * still be sent for `flushTimeout`.
     */
    private fun closeWith(reason: String) {
        if (!closeCause.compareAndSet(null, reason)) return
        queuedControl.close()
        dataHandoff.cancel()
        closeRequested.complete()
    }

    private fun closeCauseText(): String = closeCause.get() ?: "closed"

    private fun describe(exception: Exception): String = if (exception is EOFException) {
        "closed by the peer"
    } else {
        exception.message?.let { "${exception::class.simpleName}: $it" }
            ?: exception::class.simpleName.orEmpty()
    }

    private suspend fun readFrames() {
        while (true) {
            val bytes = channel.read().fold({ return closeWith(it.detail) }, { it })
            val decoded = decodeFrame(bytes).fold({ return closeWith(it.detail) }, { it })
            val size = bytes.size + LENGTH_BYTES
            when (decoded) {
                is Frame.Control -> {
                    counters.controlReceived.add(size)
                    receiver.onControlMessage(this, decoded.message)
                }

                is Frame.Data -> {
                    counters.dataReceived.add(size)
                    receiver.onDataFrame(this, decoded.frame)
                }
            }
        }
    }

    /** Writes until the connection is closed and its queued control messages are written. */
    private suspend fun writeFrames() {
        while (true) {
            val written = select {
                queuedControl.onReceiveCatching { result ->
                    result.getOrNull()?.let { writeControl(encodeControl(it)) } != null
                }
                dataHandoff.onReceiveCatching { result ->
                    result.getOrNull()?.let { writeData(it) } != null
                }
            }
            if (!written) return writeRemainingControl()
        }
    }

    private suspend fun writeRemainingControl() {
        while (true) {
            val message = queuedControl.tryReceive().getOrNull() ?: return
            writeControl(encodeControl(message))
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun writeControl(frame: ByteArray) {
        channel.write(frame, flush = queuedControl.isEmpty)
        counters.controlSent.add(frame.size)
    }

    private suspend fun writeData(frame: ByteArray) {
        channel.write(frame)
        counters.dataSent.add(frame.size)
    }
}
