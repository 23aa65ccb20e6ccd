/*
 * Stand-in of a client: sends one request on a connection of its own.
 */
package standins

import java.io.Closeable
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

/** What a client received: [status] is 0 without an answer. */
internal class Answer(val status: Int, val head: Head?, val body: Body?)

/** A connection of a client to a gateway. */
internal class Client(private val gateway: Gateway, timeoutMs: Int = 15_000) : Closeable {
    private val socket = Socket().apply {
        connect(InetSocketAddress(gateway.host, gateway.callersPort), 1000)
        soTimeout = timeoutMs
        tcpNoDelay = true
    }
    private val input = socket.getInputStream().buffered()

    /** Sends a request as text and its body. */
    fun send(head: String, body: ByteArray = ByteArray(0)) {
        val output = socket.getOutputStream()
        output.write(head.toByteArray(Charsets.ISO_8859_1))
        output.write(body)
        output.flush()
    }

    fun receive(): Answer = try {
        val head = readHead(input)
        if (head == null) Answer(0, null, null) else Answer(head.status, head, readBody(head, input))
    } catch (_: IOException) {
        Answer(0, null, null)
    }

    /** Reads and drops what arrives until the connection ends, for [limitMs] at most. */
    fun drain(limitMs: Long) {
        val end = System.nanoTime() + limitMs * 1_000_000
        val buffer = ByteArray(64 * 1024)
        while (System.nanoTime() < end) if (input.read(buffer) < 0) return
    }

    override fun close() = socket.close()
}
