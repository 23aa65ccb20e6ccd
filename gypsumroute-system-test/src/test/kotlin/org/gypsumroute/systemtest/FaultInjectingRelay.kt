/*
 * A TCP relay before an agent's port. It passes frames on, and can swallow or hold them, or
 * break connections, as networks do.
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

/** What happens to a frame. */
internal enum class FrameFate {
    /** Passed on. */
    PASS,

    /** Lost without a sign; the connection stays open. */
    SWALLOW,

    /** Kept back, with all later ones of its direction, until [FaultInjectingRelay.release]. */
    HOLD,

    /** Passed on, then all connections break. */
    PASS_AND_BREAK
}

/** Relays connections to [target]; the rule sees the direction and kind code of each frame. */
internal class FaultInjectingRelay(private val target: Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val links = CopyOnWriteArrayList<Link>()
    private val released = CountDownLatch(1)

    /** Decides on frames from now on. */
    @Volatile
    var rule: (Direction, Int) -> FrameFate = { _, _ -> FrameFate.PASS }

    /** Whether new connections are accepted; otherwise they are closed at once. */
    @Volatile
    var open = true

    /** Whether [open] ends with the next break that a rule demands. */
    @Volatile
    var refuseAfterBreak = false

    /** Whether a frame is being held. */
    @Volatile
    var holds = false
        private set

    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true, name = "relay") { accept() }
    }

    /** Swallows frames of these directions on the connections that are open now. */
    fun silence(vararg directions: Direction) =
        links.forEach { it.silenced = it.silenced + directions }

    /** Closes all connections. */
    fun breakAll() = links.forEach { it.close() }

    /** Passes on what was held. */
    fun release() = released.countDown()

    override fun close() {
        server.close()
        breakAll()
        release()
    }

    private fun accept() {
        while (!server.isClosed) {
            try {
                val entry = server.accept()
                if (open) {
                    links += Link(
                        entry,
                        Socket(server.inetAddress, target)
                    )
                } else {
                    entry.close()
                }
            } catch (_: IOException) {
                // The agent is gone or the test is over; the entry sees a refused connection.
                continue
            }
        }
    }

    private inner class Link(private val entry: Socket, private val agent: Socket) {
        @Volatile
        var silenced: Set<Direction> = emptySet()

        init {
            entry.tcpNoDelay = true
            agent.tcpNoDelay = true
            thread(isDaemon = true) { pump(entry, agent, Direction.TO_AGENT) }
            thread(isDaemon = true) { pump(agent, entry, Direction.TO_ENTRY) }
        }

        fun close() {
            entry.close()
            agent.close()
            links -= this
        }

        private fun pump(from: Socket, to: Socket, direction: Direction) = try {
            val input = DataInputStream(from.getInputStream().buffered())
            while (true) passOn(readFrame(input), to, direction)
        } catch (_: IOException) {
            close()
        }

        private fun readFrame(input: DataInputStream): ByteArray {
            val length = input.readInt()
            val frame = ByteBuffer.allocate(Int.SIZE_BYTES + length).putInt(length).array()
            input.readFully(frame, Int.SIZE_BYTES, length)
            return frame
        }

        private fun passOn(frame: ByteArray, to: Socket, direction: Direction) {
            val fate = fateOf(direction, frame)
            if (fate == FrameFate.HOLD) {
                holds = true
                released.await()
            }
            if (fate != FrameFate.SWALLOW) to.getOutputStream().write(frame)
            if (fate == FrameFate.PASS_AND_BREAK) {
                if (refuseAfterBreak) open = false
                breakAll()
            }
        }

        private fun fateOf(direction: Direction, frame: ByteArray): FrameFate =
            if (direction in silenced) {
                FrameFate.SWALLOW
            } else {
                rule(direction, frame[KIND_INDEX].toInt())
            }
    }

    companion object {
        /** Kind codes of frames, as the wire module numbers them. */
        const val GRANT_ISSUED = 21
        const val DISPATCH = 24
        const val PROMPT_CHUNK = 64

        private const val BACKLOG = 64
        private const val KIND_INDEX = 5
    }
}
