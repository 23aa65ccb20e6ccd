package org.gypsumroute.gateway.callers

import io.netty.buffer.ByteBuf
import io.netty.util.ByteProcessor

/** What a buffer holds of the head of a request. */
internal enum class HeadProgress { PARTIAL, COMPLETE, TOO_LARGE }

/**
 * Finds out whether a buffer holds the whole head of a request. It looks at each byte once: between
 * two calls, bytes may be added to the buffer, but none may be read from it.
 */
internal class RequestHeadScanner(private val maxHeaderBytes: Int) {
    /** Number of bytes that were looked at. */
    private var scanned = 0

    /** Number of bytes before the first line. */
    private var skipped = 0

    /** Number of bytes up to the end of the first line, or 0 before it is complete. */
    private var firstLineEnd = 0

    /** Number of bytes up to the end of the last complete line. */
    private var lastLineEnd = 0

    /** Looks at the bytes that were added to [input]. */
    fun scan(input: ByteBuf): HeadProgress {
        skipControlCharacters(input)
        while (true) {
            val end = nextLineEnd(input) ?: break
            if (isBlankLine(input, end)) return HeadProgress.COMPLETE
            if (firstLineEnd == 0) firstLineEnd = end
            lastLineEnd = end
        }
        val size = input.readableBytes() - if (firstLineEnd == 0) skipped else firstLineEnd
        val isTooLarge = maxOf(size, skipped) > maxHeaderBytes
        return if (isTooLarge) HeadProgress.TOO_LARGE else HeadProgress.PARTIAL
    }

    /** Starts with the next head. */
    fun reset() {
        scanned = 0
        skipped = 0
        firstLineEnd = 0
        lastLineEnd = 0
    }

    /** The decoder passes over such characters before the first line. */
    private fun skipControlCharacters(input: ByteBuf) {
        if (scanned > skipped) return
        val start = input.readerIndex()
        val first = input.forEachByte(start + skipped, input.readableBytes() - skipped, CONTROL)
        skipped = if (first < 0) input.readableBytes() else first - start
        scanned = skipped
        lastLineEnd = skipped
    }

    private fun nextLineEnd(input: ByteBuf): Int? {
        val start = input.readerIndex()
        val remaining = input.readableBytes() - scanned
        val index = input.forEachByte(start + scanned, remaining, ByteProcessor.FIND_LF)
        scanned = if (index < 0) input.readableBytes() else index - start + 1
        return scanned.takeIf { index >= 0 }
    }

    /** Whether the line up to [end] is empty but for its line break. */
    private fun isBlankLine(input: ByteBuf, end: Int): Boolean {
        val length = end - lastLineEnd
        if (lastLineEnd == skipped) return false
        return length == 1 ||
            (length == 2 && input.getByte(input.readerIndex() + lastLineEnd) == CARRIAGE_RETURN)
    }

    private companion object {
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val SPACE = ' '.code
        const val DELETE = 0x7f

        /** Returns false for the first byte that is no control character or space. */
        val CONTROL = ByteProcessor { it.toInt() in 0..SPACE || it.toInt() == DELETE }
    }
}
