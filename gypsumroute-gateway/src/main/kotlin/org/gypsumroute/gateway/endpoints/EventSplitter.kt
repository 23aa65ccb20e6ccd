/*
 * Splits a stream of server-sent events after each event, so that a stream that is cut inside an
 * event can be resumed at another endpoint after the last complete event.
 */
package org.gypsumroute.gateway.endpoints

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.util.ByteProcessor
import org.gypsumroute.gateway.forwarding.first

/** Buffers the bytes of a stream and returns them in complete events. */
internal class EventSplitter {
    private var pending: ByteBuf = Unpooled.buffer(INITIAL_BUFFER_BYTES)

    /** Id of the first event that has one, as text from the stream; null before. */
    var firstEventId: String? = null
        private set

    /** Id of the last complete event that has one, as text from the stream; null before. */
    var lastEventId: String? = null
        private set

    /** Number of bytes of the incomplete event that is buffered. */
    val bufferedBytes: Int get() = pending.readableBytes()

    /** Memory that the buffer takes. */
    val capacityBytes: Int get() = pending.capacity()

    /** Whether bytes of an incomplete event are buffered. Blank lines alone are no event. */
    val hasPartialEvent: Boolean get() = pending.forEachByte(BLANK_LINES) >= 0

    /**
     * Adds bytes and returns all events that are complete now, or null if there are none. The
     * caller has to release the returned buffer.
     */
    fun add(bytes: ByteBuf): ByteBuf? {
        val firstNew = pending.writerIndex()
        pending.writeBytes(bytes)
        val end = endOfLastEvent(firstNew)
        if (end < 0) return null
        val complete = pending.readRetainedSlice(end - pending.readerIndex())
        recordIds(complete)
        val remaining = Unpooled.buffer(maxOf(INITIAL_BUFFER_BYTES, pending.readableBytes()))
        remaining.writeBytes(pending)
        pending.release()
        pending = remaining
        return complete
    }

    /** Returns the blank lines that followed the last event; the caller has to release them. */
    fun takeTrailingBlankLines(): ByteBuf = pending.readRetainedSlice(pending.readableBytes())

    /** Releases the buffer. */
    fun release() {
        pending.release()
        pending = Unpooled.EMPTY_BUFFER
    }

    /**
     * Returns the index after the last blank line, which ends an event, or -1. Only a blank line
     * that ends at [firstNew] or later can be there, since earlier ones were found before.
     */
    private fun endOfLastEvent(firstNew: Int): Int {
        var index = pending.writerIndex() - 1
        while (index > pending.readerIndex() && index >= firstNew) {
            if (pending.getByte(index) == LINE_FEED && endsBlankLine(index)) return index + 1
            index--
        }
        return -1
    }

    private fun endsBlankLine(index: Int): Boolean {
        val before = pending.getByte(index - 1)
        if (before == LINE_FEED) return true
        return before == CARRIAGE_RETURN && index - 2 >= pending.readerIndex() &&
            pending.getByte(index - 2) == LINE_FEED
    }

    private fun recordIds(events: ByteBuf) {
        val ids = events.toString(Charsets.UTF_8).lineSequence()
            .filter { it.startsWith(ID_FIELD) }
            .map { it.removePrefix(ID_FIELD).removePrefix(" ") }
            .toList()
        if (ids.isEmpty()) return
        firstEventId = firstEventId ?: ids.first()
        lastEventId = ids.last()
    }

    private companion object {
        const val INITIAL_BUFFER_BYTES = 512
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"

        /** Returns false for the first byte that belongs to no blank line. */
        val BLANK_LINES = ByteProcessor { it == LINE_FEED || it == CARRIAGE_RETURN }
    }
}
