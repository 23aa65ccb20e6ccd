/*
 * Sends a request's body to an endpoint in frames small enough for heartbeats to pass between.
 */
package org.gypsumroute.entry

import org.gypsumroute.api.GroupSegment
import org.gypsumroute.api.LeaseId
import org.gypsumroute.wire.DataFrame
import org.gypsumroute.wire.PeerConnection

/** The part of [body] that one member of a group prefills; parts are of nearly equal length. */
internal fun segmentOf(body: ByteArray, share: GroupSegment): ByteArray {
    val from = characterStart(body, body.size.toLong() * share.index / share.members)
    val to = characterStart(body, body.size.toLong() * (share.index + 1) / share.members)
    return body.copyOfRange(from, to)
}

// Segments are JSON strings on the way to the engine, so no UTF-8 sequence may be cut.
private fun characterStart(body: ByteArray, position: Long): Int {
    var start = position.toInt()
    while (start < body.size && body[start].toInt() and CONTINUATION_MASK == CONTINUATION_BITS) {
        start++
    }
    return start
}

/** Sends [body] and then [continued] as numbered frames; stops when the connection closes. */
internal suspend fun sendBody(
    connection: PeerConnection,
    lease: LeaseId,
    body: ByteArray,
    continued: ByteArray
) {
    val size = body.size + continued.size
    var sequence = 0
    var position = 0
    do {
        val count = minOf(FRAME_BYTES, size - position)
        val bytes = slice(body, continued, position, count)
        position += count
        val frame = DataFrame.PromptChunk(lease, sequence++, bytes, last = position == size)
    } while (sendOrDrop(connection, frame) && position < size)
}

private fun slice(first: ByteArray, second: ByteArray, from: Int, count: Int): ByteArray {
    val to = from + count
    return when {
        to <= first.size -> first.copyOfRange(from, to)
        from >= first.size -> second.copyOfRange(from - first.size, to - first.size)
        else -> first.copyOfRange(from, first.size) + second.copyOfRange(0, to - first.size)
    }
}

private const val FRAME_BYTES = 32 * 1024
private const val CONTINUATION_MASK = 0xC0
private const val CONTINUATION_BITS = 0x80
