package org.gypsumroute.test

import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Digests a prompt while it arrives, so that a prompt of several megabytes is not held in memory.
 *
 * Block digests are cumulative: equal digests mean equal prompts up to the end of the block. A
 * prompt that ends in generated text (`t41 `) continues it, so that a resumed stream goes on with
 * the next number.
 */
class PromptDigester {
    private val digest = MessageDigest.getInstance("SHA-256")
    private val blockDigests = mutableListOf<Long>()
    private var bytes = 0L
    private var tail = ""

    /** Adds the first [length] bytes of [buffer] to the prompt. */
    fun update(buffer: ByteArray, length: Int) {
        var offset = 0
        while (offset < length) {
            val room = BLOCK_BYTES - (bytes % BLOCK_BYTES).toInt()
            val taken = minOf(room, length - offset)
            digest.update(buffer, offset, taken)
            offset += taken
            bytes += taken
            if (bytes % BLOCK_BYTES == 0L) blockDigests += blockDigest()
        }
        val from = (length - TAIL_BYTES).coerceAtLeast(0)
        val text = String(buffer, from, length - from, Charsets.ISO_8859_1)
        tail = (tail + text).takeLast(TAIL_BYTES)
    }

    /** The digest of the complete prompt. */
    fun finish(): PromptDigest {
        val nextTokenNumber = CONTINUATION.find(tail)?.let { it.groupValues[1].toLong() + 1 } ?: 0
        return PromptDigest(
            (bytes + TOKEN_BYTES - 1) / TOKEN_BYTES,
            nextTokenNumber,
            blockDigests.toList()
        )
    }

    private fun blockDigest(): Long =
        ByteBuffer.wrap((digest.clone() as MessageDigest).digest()).long

    companion object {
        /** Tokens per block of the prefix cache. */
        const val BLOCK_TOKENS = 1024L
        private const val TOKEN_BYTES = 4
        private const val BLOCK_BYTES = 4096
        private const val TAIL_BYTES = 24
        private val CONTINUATION = Regex("t(\\d{1,15}) $")
    }
}
