/*
 * Reads and writes frames on one socket. Both suspend while they wait and never block a thread.
 */
package org.gypsumroute.wire

import arrow.core.Either
import arrow.core.flatMap
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import java.io.IOException
import kotlinx.coroutines.cancel

/** Transfers frames over [socket]. At most one coroutine may read and one may write at a time. */
internal class FrameChannel(private val socket: Socket) {
    private val input = socket.openReadChannel()
    private val output = ByteChannel()
    private val socketWriter = socket.attachForWriting(output)

    /** Reads a frame and returns it without its length field. Throws if the connection ends. */
    suspend fun read(maxBodyBytes: Int = MAX_BODY_BYTES): Either<ProtocolError, ByteArray> =
        checkLength(input.readInt(), maxBodyBytes).flatMap { length ->
            Either.Right(ByteArray(length).also { input.readFully(it) })
        }

    /** Writes an encoded frame. Suspends while the unsent bytes exceed the channel's limit. */
    suspend fun write(frame: ByteArray, flush: Boolean = true) {
        output.writeFully(frame)
        if (flush) output.flush()
    }

    /** Flushes the buffer and closes the output. Suspends until the socket has taken all bytes. */
    suspend fun finish() {
        output.flushAndClose()
        socketWriter.job.join()
    }

    /**
     * Closes the socket at once and discards unsent bytes, even if the peer has stopped reading.
     */
    fun abort() {
        val cause = IOException("connection closed")
        output.cancel(cause)
        input.cancel(cause)
        socket.socketContext.cancel()
        socket.close()
    }
}
