/*
 * A caller on plain sockets, with one request at a time on its connection.
 */
package review

import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

/** A connection to the gateway at [address]. */
class Caller(address: InetSocketAddress) : AutoCloseable {
    val socket = Socket().apply {
        tcpNoDelay = true
        connect(address, CONNECT_TIMEOUT_MS)
    }
    private val input = socket.getInputStream().bufferedInput()

    /**
     * Sends a request and returns its answer, or null if the connection ends or [waitMs] pass
     * without one.
     */
    fun call(
        path: String,
        id: String,
        deadlineMs: Int,
        body: ByteArray = ByteArray(0),
        headers: Map<String, String> = emptyMap(),
        waitMs: Int = deadlineMs
    ): Answer? = try {
        send(path, id, deadlineMs, body, headers)
        receive(waitMs)
    } catch (exception: IOException) {
        null
    }

    fun send(
        path: String,
        id: String,
        deadlineMs: Int,
        body: ByteArray,
        headers: Map<String, String> = emptyMap()
    ) {
        val own = mapOf(
            "Host" to HOST_NAME,
            "Gypsumroute-Request-Id" to id,
            "Gypsumroute-Deadline-Ms" to deadlineMs.toString(),
            "Gypsumroute-Key" to KEY,
            "Content-Length" to body.size.toString()
        )
        val lines = (own + headers).entries.joinToString("") { "${it.key}: ${it.value}\r\n" }
        val output = socket.getOutputStream()
        output.write("POST $path HTTP/1.1\r\n$lines\r\n".encodeToByteArray() + body)
        output.flush()
    }

    fun receive(waitMs: Int): Answer? {
        socket.soTimeout = waitMs
        return readAnswer(input)
    }

    override fun close() = socket.close()

    companion object {
        const val HOST_NAME = "ficu95.example"
        const val KEY = "n2ctnfzs989anu6wsjnb"
        private const val CONNECT_TIMEOUT_MS = 1000
    }
}
