/*
 * A stand-in of a runner on plain sockets. What it answers is up to the case.
 */
package review

import java.io.IOException
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A request at a runner and the connection on which the answer is written. */
class RunnerCall(val head: Head, val body: ByteArray, val socket: Socket) {
    val id: String get() = head["gypsumroute-request-id"].orEmpty()
    val output: OutputStream get() = socket.getOutputStream()

    /** Writes [text] as it is. */
    fun write(text: String) {
        output.write(text.encodeToByteArray())
        output.flush()
    }

    /** Writes a complete answer with a length. */
    fun answer(status: String, body: String) = write(
        "HTTP/1.1 $status\r\nGypsumroute-Request-Id: $id\r\n" +
            "Gypsumroute-Response-Signature: $SIGNATURE\r\nKeep-Alive: timeout=5\r\n" +
            "Content-Type: text/plain\r\nContent-Length: ${body.length}\r\n\r\n$body"
    )

    companion object {
        const val SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
    }
}

/** The runner [id] of [service]; [handle] works on one request and answers it. */
class RunnerStandIn(
    val id: String,
    private val service: String,
    private val slots: Int,
    private val handle: (RunnerCall) -> Unit
) : AutoCloseable {
    private val loopback = InetAddress.getByName("127.0.0.1")
    private val connections = CopyOnWriteArrayList<Socket>()

    @Volatile
    private var listener = ServerSocket(0, BACKLOG, loopback)

    /** The moment of the last start, by which the entry tells one start from another. */
    @Volatile
    private var born = System.currentTimeMillis()

    init {
        thread(isDaemon = true) { acceptAll(listener) }
    }

    /** The entry of the runner in the platform's store. */
    fun entry(zone: String = "a", state: String = "ready"): String =
        """{"service":"$service","address":"127.0.0.1:${listener.localPort}","zone":"$zone",
            "version":"v1","slots":$slots,"state":"$state","cold_remaining_ms":0,"sequence":1,
            "born":$born}"""

    /** Ends as a crashed process does: all connections are reset, and the port is closed. */
    fun crash() {
        listener.close()
        connections.forEach(::reset)
        connections.clear()
    }

    /** Starts again at the same address. */
    fun restart() {
        born = System.currentTimeMillis()
        listener = ServerSocket(listener.localPort, BACKLOG, loopback)
        thread(isDaemon = true) { acceptAll(listener) }
    }

    override fun close() = listener.close()

    private fun acceptAll(current: ServerSocket) {
        while (!current.isClosed) {
            val socket = try {
                current.accept()
            } catch (exception: IOException) {
                return
            }
            socket.tcpNoDelay = true
            connections += socket
            thread(isDaemon = true) { serve(socket) }
        }
    }

    private fun serve(socket: Socket) = socket.use {
        try {
            val input = socket.getInputStream().bufferedInput()
            while (true) {
                val head = readHead(input) ?: return
                val call = RunnerCall(head, readRequestBody(input, head), socket)
                if (head["gypsumroute-target-instance"].let { it != null && it != id }) {
                    call.write(
                        "HTTP/1.1 421 Misdirected Request\r\nGypsumroute-Request-Id: ${call.id}" +
                            "\r\nGypsumroute-Instance-Id: $id\r\nContent-Length: 0\r\n\r\n"
                    )
                } else {
                    handle(call)
                }
            }
        } catch (exception: IOException) {
            // The gateway closed the connection, or the runner crashed.
        } finally {
            connections -= socket
        }
    }

    private fun reset(socket: Socket) = try {
        socket.setSoLinger(true, 0)
        socket.close()
    } catch (exception: IOException) {
        // It was closed already.
    }

    private companion object {
        const val BACKLOG = 256
    }
}
