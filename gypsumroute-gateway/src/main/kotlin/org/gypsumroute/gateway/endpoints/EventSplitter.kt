/*
 * Splits a stream of server-sent events after each event, so that a stream that is cut inside an
 * event can be resumed at another endpoint after the last complete event.
 *
 * A blank line ends a block of lines. Only a block with data is an event; comments, blocks of other
 * fields and blank lines alone tell nothing to the caller's application, so that a stream of them
 * makes no progress.
 */
package org.gypsumroute.gateway.endpoints

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.util.ByteProcessor

/** Buffers the bytes of a stream and returns them in complete blocks. */
internal class EventSplitter {
    private var pending: ByteBuf = Unpooled.buffer(INITIAL_BUFFER_BYTES)

    /** Start of the first line that [scan] has not seen whole. */
    private var lineStart = 0

    /** End of what [scan] has looked at. */
    private var scanned = 0

    /** Where the lines begin that belong to no complete block. */
    private var blockStart = 0
    private var blockHasLines = false
    private var blockHasData = false
    private var blockId: String? = null

    /** End of the last complete event, counted from the start of the stream. */
    private var lastEventEnd = 0L
    private var takenBytes = 0L

    /** Id of the first event that has one, as text from the stream; null before. */
    var firstEventId: String? = null
        private set

    /** Id of the last complete event that has one, as text from the stream; null before. */
    var lastEventId: String? = null
        private set

    /** Number of bytes that are buffered. */
    val bufferedBytes: Int get() = pending.readableBytes()

    /** Memory that the buffer takes. */
    val capacityBytes: Int get() = pending.capacity()

    /** Number of bytes that came after the last complete event. */
    val bytesWithoutEvent: Long get() = takenBytes + pending.writerIndex() - lastEventEnd

    /** Whether a complete event is buffered. */
    val hasEvent: Boolean get() = lastEventEnd > takenBytes

    /** Whether bytes of an incomplete block are buffered. Blank lines alone are none. */
    val hasPartialEvent: Boolean
        get() = blockHasLines ||
            pending.forEachByte(lineStart, pending.writerIndex() - lineStart, BLANK_LINES) >= 0

    /** Adds bytes, which [scan] looks at. */
    fun add(bytes: ByteBuf) {
        pending.writeBytes(bytes)
    }

    /** Finds the events that are complete now. Looks at each byte once. */
    fun scan() {
        while (true) {
            val lineFeed = pending.indexOf(scanned, pending.writerIndex(), LINE_FEED)
            scanned = if (lineFeed < 0) pending.writerIndex() else lineFeed + 1
            if (lineFeed < 0) return
            readLine(lineStart, lineFeed)
            lineStart = scanned
            if (!blockHasLines) blockStart = lineStart
        }
    }

    /** Returns all complete blocks, which the caller has to release; null if there are none. */
    fun takeBlocks(): ByteBuf? {
        if (blockStart == 0) return null
        val blocks = pending.readRetainedSlice(blockStart)
        val remaining = Unpooled.buffer(maxOf(INITIAL_BUFFER_BYTES, pending.readableBytes()))
        remaining.writeBytes(pending)
        pending.release()
        pending = remaining
        takenBytes += blockStart
        lineStart -= blockStart
        scanned -= blockStart
        blockStart = 0
        return blocks
    }

    /** Returns what follows the last event if no event is incomplete; it has to be released. */
    fun takeRest(): ByteBuf = pending.readRetainedSlice(pending.readableBytes())

    /** Releases the buffer. */
    fun release() {
        pending.release()
        pending = Unpooled.EMPTY_BUFFER
    }

    private fun readLine(start: Int, lineFeed: Int) {
        val endsWithReturn = lineFeed > start && pending.getByte(lineFeed - 1) == CARRIAGE_RETURN
        val end = if (endsWithReturn) lineFeed - 1 else lineFeed
        if (end == start) {
            endBlock(lineFeed + 1)
            return
        }
        blockHasLines = true
        when {
            isField(start, end, DATA_FIELD) -> blockHasData = true
            isField(start, end, ID_FIELD) -> blockId = valueOf(start + ID_FIELD.length, end)
        }
    }

    private fun endBlock(end: Int) {
        if (blockHasData) lastEventEnd = takenBytes + end
        blockId?.let {
            firstEventId = firstEventId ?: it
            lastEventId = it
        }
        blockHasLines = false
        blockHasData = false
        blockId = null
    }

    /** Whether a line is the field [name], which a colon separates from its value. */
    private fun isField(start: Int, end: Int, name: String): Boolean {
        val nameEnd = start + name.length
        if (nameEnd > end || (nameEnd < end && pending.getByte(nameEnd) != COLON)) return false
        return name.indices.all { pending.getByte(start + it) == name[it].code.toByte() }
    }

    /** The value behind the name of a field; a space after the colon does not belong to it. */
    private fun valueOf(nameEnd: Int, end: Int): String =
        pending.toString(nameEnd, end - nameEnd, Charsets.UTF_8).removePrefix(":").removePrefix(" ")

    private companion object {
        const val INITIAL_BUFFER_BYTES = 512
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val COLON = ':'.code.toByte()
        const val DATA_FIELD = "data"
        const val ID_FIELD = "id"

        /** Returns false for the first byte that belongs to no blank line. */
        val BLANK_LINES = ByteProcessor { it == LINE_FEED || it == CARRIAGE_RETURN }
    }
}
