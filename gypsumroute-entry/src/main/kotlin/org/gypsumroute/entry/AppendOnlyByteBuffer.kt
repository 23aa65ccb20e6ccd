package org.gypsumroute.entry

/**
 * Append-only byte buffer made of blocks of one size, so that the memory allocated exceeds the
 * bytes held by less than one block.
 *
 * Not safe for use by several threads at once.
 */
internal class AppendOnlyByteBuffer {
    private val blocks = ArrayList<ByteArray>()

    var size = 0
        private set

    fun append(bytes: ByteArray) {
        var copied = 0
        while (copied < bytes.size) {
            val offset = size % BLOCK_BYTES
            if (offset == 0) blocks.add(ByteArray(BLOCK_BYTES))
            val count = minOf(bytes.size - copied, BLOCK_BYTES - offset)
            bytes.copyInto(blocks.last(), offset, copied, copied + count)
            copied += count
            size += count
        }
    }

    /** A copy of the bytes from [from] to [to] (exclusive). */
    fun copyOfRange(from: Int, to: Int): ByteArray {
        val result = ByteArray(to - from)
        var copied = 0
        while (copied < result.size) {
            val position = from + copied
            val offset = position % BLOCK_BYTES
            val count = minOf(result.size - copied, BLOCK_BYTES - offset)
            blocks[position / BLOCK_BYTES].copyInto(result, copied, offset, offset + count)
            copied += count
        }
        return result
    }

    /**
     * The largest position above [from] and up to [to] at which no UTF-8 sequence is cut; [to] if
     * there is none among its last [MAX_CONTINUATION_BYTES] positions, or if [to] is the end.
     */
    fun lastCharacterBoundary(from: Int, to: Int): Int {
        if (to >= size) return to
        val earliest = maxOf(from, to - MAX_CONTINUATION_BYTES)
        return (to downTo earliest).firstOrNull { !isContinuation(it) && it > from } ?: to
    }

    fun clear() {
        blocks.clear()
        size = 0
    }

    private fun isContinuation(position: Int): Boolean {
        val byte = blocks[position / BLOCK_BYTES][position % BLOCK_BYTES].toInt()
        return byte and CONTINUATION_MASK == CONTINUATION_BITS
    }

    private companion object {
        const val BLOCK_BYTES = 4096

        // A UTF-8 sequence has at most four bytes.
        const val MAX_CONTINUATION_BYTES = 3

        // Continuation bytes of UTF-8 have the form 10xxxxxx.
        const val CONTINUATION_MASK = 0xC0
        const val CONTINUATION_BITS = 0x80
    }
}
