/*
 * Stand-in of a runner: reads requests and answers them as a case says.
 */
package standins

import java.io.BufferedInputStream
import java.io.Closeable
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** A request whose head has arrived, with the connection that it came on. */
internal class RunnerRequest(
    val head: Head,
    private val socket: Socket,
    private val input: InputStream
) {
    val id: String = head["Gypsumroute-Request-Id"].orEmpty()
    val method = head.startLine.split(' ')[0]
    private val length = head["Content-Length"]?.toInt() ?: 0
    private val output: OutputStream = socket.getOutputStream()

    /** Reads the whole body. */
    fun readBody(): ByteArray = input.readNBytes(length)

    fun write(text: String) {
        output.write(text.toByteArray(Charsets.ISO_8859_1))
        output.flush()
    }

    /** Closes the connection; the kernel resets it if bytes are unread. */
    fun close() = socket.close()
}

/** Listens on a free loopback port; [serve] answers and returns whether the connection goes on. */
internal class Runner(
    val id: String,
    private val receiveBuffer: Int? = null,
    private val serve: (RunnerRequest) -> Boolean
) : Closeable {
    private val listener = ServerSocket().apply {
        if (receiveBuffer != null) this.receiveBufferSize = receiveBuffer
        bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG)
    }
    private val sockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()
    private val port: Int = listener.localPort
    private val born = System.currentTimeMillis()

    init {
        thread(isDaemon = true, name = "runner-$id") { accept() }
    }

    /** The record that the runner publishes of itself. */
    fun record(service: String, slots: Int = 11) =
        """{"service":"$service","address":"127.0.0.1:$port","zone":"thamel","version":"v1",
            "slots":$slots,"state":"ready","cold_remaining_ms":0,"stage":"both",
            "models":[{"name":"m","version":1,"adapters":[]}],"sequence":4,"born":$born}"""

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }

    private fun accept() {
        while (!listener.isClosed) {
            val socket = try {
                listener.accept()
            } catch (_: IOException) {
                return
            }
            sockets += socket
            thread(isDaemon = true) { serveAll(socket) }
        }
    }

    private fun serveAll(socket: Socket) {
        try {
            socket.tcpNoDelay = true
            val input = BufferedInputStream(socket.getInputStream(), INPUT_BUFFER)
            while (true) {
                val head = readHead(input) ?: break
                if (!serveOne(RunnerRequest(head, socket, input))) break
            }
        } catch (_: IOException) {
            // The gateway's side is gone.
        } finally {
            socket.close()
            sockets -= socket
        }
    }

    private fun serveOne(request: RunnerRequest): Boolean {
        val target = request.head["Gypsumroute-Target-Instance"]
        if (target != null && target != id) {
            request.readBody()
            request.write(
                "HTTP/1.1 421 Misdirected Request\r\nGypsumroute-Instance-Id: $id\r\n" +
                    "Content-Length: 0\r\n\r\n"
            )
            return true
        }
        return serve(request)
    }

    private companion object {
        const val BACKLOG = 200
        const val INPUT_BUFFER = 1024
    }
}
