/*
 * Sends a request's body to an endpoint in frames that are small enough for heartbeats on the same
 * connection to be sent between them.
 */
package org.gypsumroute.entry

import org.gypsumroute.api.GroupSegment
import org.gypsumroute.api.LeaseId
import org.gypsumroute.wire.DataFrame
import org.gypsumroute.wire.PeerConnection

/**
 * The part of [body] that one member of a group prefills. The parts differ in length by a few bytes
 * at most, because they start and end at whole characters.
 */
internal fun segmentBody(body: ByteArray, segment: GroupSegment): ByteArray {
    val from = nextCharacterStart(body, body.size.toLong() * segment.index / segment.members)
    val to = nextCharacterStart(body, body.size.toLong() * (segment.index + 1) / segment.members)
    return body.copyOfRange(from, to)
}

// A segment must not cut a UTF-8 sequence, because an engine gets it as a prompt of its own.
private fun nextCharacterStart(body: ByteArray, position: Long): Int {
    var start = position.toInt()
    while (start < body.size && body[start].toInt() and CONTINUATION_MASK == CONTINUATION_BITS) {
        start++
    }
    return start
}

/**
 * Sends [body], followed by the [receivedText] that the answer continues, as numbered frames. Stops
 * when the connection closes.
 */
internal suspend fun sendBody(
    connection: PeerConnection,
    lease: LeaseId,
    body: ByteArray,
    receivedText: ByteArray
) {
    val size = body.size + receivedText.size
    var sequence = 0
    var position = 0
    do {
        val count = minOf(MAX_FRAME_BYTES, size - position)
        val bytes = concatenatedRange(body, receivedText, position, count)
        position += count
        val frame = DataFrame.PromptChunk(lease, sequence++, bytes, last = position == size)
    } while (sendIfOpen(connection, frame) && position < size)
}

private fun concatenatedRange(
    first: ByteArray,
    second: ByteArray,
    from: Int,
    count: Int
): ByteArray {
    val to = from + count
    return when {
        to <= first.size -> first.copyOfRange(from, to)
        from >= first.size -> second.copyOfRange(from - first.size, to - first.size)
        else -> first.copyOfRange(from, first.size) + second.copyOfRange(0, to - first.size)
    }
}

private const val MAX_FRAME_BYTES = 32 * 1024
private const val CONTINUATION_MASK = 0xC0
private const val CONTINUATION_BITS = 0x80
