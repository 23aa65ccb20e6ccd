/*
 * Frames over one socket. Reading and writing suspend and never block a thread.
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

/** The byte channels of a [socket]; one coroutine may read and one may write. */
internal class FrameChannel(private val socket: Socket) {
    private val input = socket.openReadChannel()
    private val output = ByteChannel()
    private val socketWriter = socket.attachForWriting(output)

    /** Reads a frame without its length field; throws if the socket ends. */
    suspend fun read(largestBody: Int = MAX_BODY_BYTES): Either<ProtocolError, ByteArray> =
        checkLength(input.readInt(), largestBody).flatMap { length ->
            Either.Right(ByteArray(length).also { input.readFully(it) })
        }

    /** Writes an encoded frame; suspends while more than the channel's limit is unsent. */
    suspend fun write(frame: ByteArray, flush: Boolean = true) {
        output.writeFully(frame)
        if (flush) output.flush()
    }

    /** Sends what is buffered and ends the output; suspends until the socket took it. */
    suspend fun finish() {
        output.flushAndClose()
        socketWriter.job.join()
    }

    /** Frees the socket at once, even if the peer stopped reading. */
    fun abort() {
        val cause = IOException("connection closed")
        output.cancel(cause)
        input.cancel(cause)
        socket.socketContext.cancel()
        socket.close()
    }
}
