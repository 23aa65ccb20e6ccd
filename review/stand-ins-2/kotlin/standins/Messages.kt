/*
 * Reading of HTTP messages from sockets.
 */
package standins

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream

/** The first line and the header fields of a message. */
internal class Head(val startLine: String, private val fields: List<Pair<String, String>>) {
    operator fun get(name: String): String? =
        fields.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

    val status: Int get() = startLine.split(' ')[1].toInt()
}

/** Reads a head; null if the connection ends before its first byte. */
internal fun readHead(input: InputStream): Head? {
    val first = readLine(input) ?: return null
    val fields = ArrayList<Pair<String, String>>()
    while (true) {
        val line = readLine(input) ?: throw IOException("the head is not complete")
        if (line.isEmpty()) return Head(first, fields)
        fields += line.substringBefore(':').trim() to line.substringAfter(':').trim()
    }
}

/** How a message body ended. */
internal enum class BodyEnd { COMPLETE, BROKEN_OFF }

internal class Body(val bytes: ByteArray, val end: BodyEnd) {
    val text: String get() = bytes.toString(Charsets.ISO_8859_1)
}

/** Reads the body of a response with [head]. [onBytes] is called with the size read so far. */
internal fun readBody(head: Head, input: InputStream): Body {
    val bytes = ByteArrayOutputStream()
    val end = try {
        when {
            head["Transfer-Encoding"].equals("chunked", ignoreCase = true) ->
                readChunks(input, bytes)

            head["Content-Length"] != null ->
                readSized(input, bytes, head["Content-Length"]!!.toInt())

            else -> {
                input.copyTo(bytes)
                BodyEnd.COMPLETE
            }
        }
    } catch (_: IOException) {
        BodyEnd.BROKEN_OFF
    }
    return Body(bytes.toByteArray(), end)
}

private fun readChunks(input: InputStream, bytes: ByteArrayOutputStream): BodyEnd {
    while (true) {
        val line = readLine(input) ?: return BodyEnd.BROKEN_OFF
        val size = line.substringBefore(';').trim().toInt(16)
        if (size == 0) {
            while (true) if ((readLine(input) ?: return BodyEnd.BROKEN_OFF).isEmpty()) break
            return BodyEnd.COMPLETE
        }
        if (readSized(input, bytes, size) == BodyEnd.BROKEN_OFF) return BodyEnd.BROKEN_OFF
        readLine(input)
    }
}

private fun readSized(input: InputStream, bytes: ByteArrayOutputStream, size: Int): BodyEnd {
    val read = input.readNBytes(size)
    bytes.write(read)
    return if (read.size == size) BodyEnd.COMPLETE else BodyEnd.BROKEN_OFF
}

private fun readLine(input: InputStream): String? {
    val line = StringBuilder()
    while (true) {
        val next = input.read()
        if (next < 0) return if (line.isEmpty()) null else throw IOException("cut inside a line")
        if (next == '\n'.code) return line.removeSuffix("\r").toString()
        line.append(next.toChar())
    }
}
