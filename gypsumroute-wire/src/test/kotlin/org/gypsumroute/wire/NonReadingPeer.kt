package org.gypsumroute.wire

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import kotlinx.coroutines.Dispatchers
import org.gypsumroute.api.NodeRole

/** A peer that completes the handshake and then reads only when a test reads from its channel. */
internal class NonReadingPeer private constructor(private val server: ServerSocket) {
    val port: Int get() = server.port

    suspend fun accept(): FrameChannel {
        val channel = FrameChannel(server.accept())
        val handshake = Handshake(testHello("stopped", NodeRole.AGENT), "shared".toByteArray())
        check(handshake.perform(channel, HandshakeSide.LISTENING).isRight())
        return channel
    }

    companion object {
        suspend fun listen(): NonReadingPeer {
            val builder = aSocket(SelectorManager(Dispatchers.IO)).tcp()
            return NonReadingPeer(builder.bind(LOOPBACK, 0))
        }
    }
}
