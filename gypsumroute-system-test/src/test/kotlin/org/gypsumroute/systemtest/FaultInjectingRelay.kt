/*
 * A TCP relay in front of an agent's port that injects network faults: it forwards frames, and can
 * drop or hold them or close connections.
 */
package org.gypsumroute.systemtest

import java.io.DataInputStream
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.ByteBuffer
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/** Direction of a frame through a relay. */
internal enum class Direction { TO_AGENT, TO_ENTRY }

/** What the relay does with a frame. */
internal enum class FrameAction {
    /** Forwards the frame. */
    PASS,

    /** Discards the frame; the connection stays open. */
    DROP,

    /** Holds the frame and all later ones of its direction until [FaultInjectingRelay.release]. */
    HOLD,

    /** Forwards the frame, then closes all connections. */
    PASS_AND_BREAK
}

/** Relays connections to [agentPort]; [rule] gets the direction and kind code of each frame. */
internal class FaultInjectingRelay(private val agentPort: Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val connections = CopyOnWriteArrayList<RelayedConnection>()
    private val releaseLatch = CountDownLatch(1)

    /** Chooses what happens to each frame from now on. */
    @Volatile
    var rule: (Direction, Int) -> FrameAction = { _, _ -> FrameAction.PASS }

    /** Whether new connections are relayed; otherwise they are closed at once. */
    @Volatile
    var acceptsConnections = true

    /** Whether the next [FrameAction.PASS_AND_BREAK] also sets [acceptsConnections] to false. */
    @Volatile
    var refuseConnectionsAfterBreak = false

    /** Whether a frame is being held. */
    @Volatile
    var isHolding = false
        private set

    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true, name = "relay") { accept() }
    }

    /** Drops all further frames of these directions on the connections that are open now. */
    fun dropFrames(vararg directions: Direction) =
        connections.forEach { it.droppedDirections = it.droppedDirections + directions }

    /** Closes all connections. */
    fun closeConnections() = connections.forEach { it.close() }

    /** Forwards the held frames, and stops holding frames for good. */
    fun release() = releaseLatch.countDown()

    override fun close() {
        server.close()
        closeConnections()
        release()
    }

    private fun accept() {
        while (!server.isClosed) {
            try {
                val entry = server.accept()
                if (acceptsConnections) {
                    connections += RelayedConnection(
                        entry,
                        Socket(server.inetAddress, agentPort)
                    )
                } else {
                    entry.close()
                }
            } catch (_: IOException) {
                // The agent does not listen, or the relay is closed. An accepted connection stays
                // unrelayed.
                continue
            }
        }
    }

    private inner class RelayedConnection(private val entry: Socket, private val agent: Socket) {
        @Volatile
        var droppedDirections: Set<Direction> = emptySet()

        init {
            entry.tcpNoDelay = true
            agent.tcpNoDelay = true
            thread(isDaemon = true) { relayFrames(entry, agent, Direction.TO_AGENT) }
            thread(isDaemon = true) { relayFrames(agent, entry, Direction.TO_ENTRY) }
        }

        fun close() {
            entry.close()
            agent.close()
            connections -= this
        }

        private fun relayFrames(from: Socket, to: Socket, direction: Direction) = try {
            val input = DataInputStream(from.getInputStream().buffered())
            while (true) forward(readFrame(input), to, direction)
        } catch (_: IOException) {
            close()
        }

        private fun readFrame(input: DataInputStream): ByteArray {
            val length = input.readInt()
            val frame = ByteBuffer.allocate(Int.SIZE_BYTES + length).putInt(length).array()
            input.readFully(frame, Int.SIZE_BYTES, length)
            return frame
        }

        private fun forward(frame: ByteArray, to: Socket, direction: Direction) {
            val action = actionFor(direction, frame)
            if (action == FrameAction.HOLD) {
                isHolding = true
                releaseLatch.await()
            }
            if (action != FrameAction.DROP) to.getOutputStream().write(frame)
            if (action == FrameAction.PASS_AND_BREAK) {
                if (refuseConnectionsAfterBreak) acceptsConnections = false
                closeConnections()
            }
        }

        private fun actionFor(direction: Direction, frame: ByteArray): FrameAction =
            if (direction in droppedDirections) {
                FrameAction.DROP
            } else {
                rule(direction, frame[KIND_CODE_OFFSET].toInt())
            }
    }

    companion object {
        /** Kind codes of frames, as in the module gypsumroute-wire. */
        const val GRANT_ISSUED = 21
        const val DISPATCH = 24
        const val PROMPT_CHUNK = 64

        private const val BACKLOG = 64
        private const val KIND_CODE_OFFSET = 5
    }
}
