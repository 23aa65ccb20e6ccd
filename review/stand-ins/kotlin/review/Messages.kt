/*
 * Reading and writing of HTTP/1.1 messages on plain sockets. The stand-ins need control over every
 * byte and over the moment at which it is written, which HTTP libraries do not give.
 */
package review

import java.io.BufferedInputStream
import java.io.EOFException
import java.io.InputStream

/** First line and headers of a request or response; names of headers are in lower case. */
class Head(val firstLine: String, val headers: Map<String, String>) {
    val method: String get() = firstLine.substringBefore(' ')
    val path: String get() = firstLine.split(' ').getOrElse(1) { "" }
    val status: Int get() = firstLine.split(' ').getOrElse(1) { "0" }.toIntOrNull() ?: 0

    operator fun get(name: String): String? = headers[name.lowercase()]
}

/** A response as a caller received it; [complete] tells whether its end arrived. */
class Answer(val head: Head, val body: ByteArray, val complete: Boolean) {
    val text: String get() = body.decodeToString()
}

/** Reads one head; returns null if the connection ends before it. */
fun readHead(input: InputStream): Head? {
    val first = readLine(input) ?: return null
    val headers = LinkedHashMap<String, String>()
    while (true) {
        val line = readLine(input) ?: return null
        if (line.isEmpty()) return Head(first, headers)
        headers[line.substringBefore(':').trim().lowercase()] = line.substringAfter(':').trim()
    }
}

/** Reads the body of a request, which has a length, chunks, or nothing. */
fun readRequestBody(input: InputStream, head: Head): ByteArray = when {
    head["transfer-encoding"]?.contains("chunked") == true -> readChunks(input).first
    else -> readExactly(input, head["content-length"]?.toInt() ?: 0)
}

/** Reads one response, also one that ends with its connection or is broken off. */
fun readAnswer(input: InputStream): Answer? {
    val head = readHead(input) ?: return null
    if (head.status in 100..199) return readAnswer(input)
    val length = head["content-length"]?.toInt()
    return when {
        head["transfer-encoding"]?.contains("chunked") == true -> {
            val (body, complete) = readChunks(input)
            Answer(head, body, complete)
        }

        length != null -> {
            val body = input.readNBytes(length)
            Answer(head, body, body.size == length)
        }

        else -> Answer(head, input.readAllBytes(), true)
    }
}

fun InputStream.bufferedInput(): BufferedInputStream = BufferedInputStream(this)

private fun readLine(input: InputStream): String? {
    val line = StringBuilder()
    while (true) {
        val byte = input.read()
        if (byte < 0) return null
        if (byte == '\n'.code) return line.toString().removeSuffix("\r")
        line.append(byte.toChar())
    }
}

private fun readChunks(input: InputStream): Pair<ByteArray, Boolean> {
    val body = java.io.ByteArrayOutputStream()
    while (true) {
        val size = readLine(input)?.substringBefore(';')?.trim()?.toIntOrNull(HEXADECIMAL)
            ?: return body.toByteArray() to false
        if (size == 0) {
            readLine(input)
            return body.toByteArray() to true
        }
        val part = input.readNBytes(size)
        body.write(part)
        if (part.size < size) return body.toByteArray() to false
        readLine(input)
    }
}

private fun readExactly(input: InputStream, count: Int): ByteArray {
    val bytes = input.readNBytes(count)
    if (bytes.size < count) throw EOFException("body broken off")
    return bytes
}

private const val HEXADECIMAL = 16
