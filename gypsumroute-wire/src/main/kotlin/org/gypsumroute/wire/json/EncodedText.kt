package org.gypsumroute.wire.json

import java.io.OutputStream
import java.nio.ByteBuffer
import java.util.Arrays
import java.util.Base64

/**
 * The part of [bytes] from [start] until [end], compared by content. The bytes must not be changed.
 */
class EncodedText private constructor(
    private val bytes: ByteArray,
    private val start: Int,
    private val end: Int,
    private var hash: Int
) {
    constructor(bytes: ByteArray, start: Int, end: Int) : this(bytes, start, end, NOT_COMPUTED)

    val size: Int get() = end - start

    /** Whether the bytes of [other] from [position] on begin with this text. */
    fun occursIn(other: ByteArray, position: Int): Boolean = position + size <= other.size &&
        Arrays.equals(bytes, start, end, other, position, position + size)

    /** This text as a part of [other], where it [occursIn] at [position]. */
    fun movedTo(other: ByteArray, position: Int) =
        EncodedText(other, position, position + size, hash)

    fun writeTo(output: OutputStream) = output.write(bytes, start, size)

    /** Decodes this text from base64; throws IllegalArgumentException if it is none. */
    fun decodeBase64(): ByteArray {
        val decoded = Base64.getDecoder().decode(ByteBuffer.wrap(bytes, start, size))
        val fillsArray = decoded.remaining() == decoded.array().size
        return if (fillsArray) decoded.array() else decoded.array().copyOf(decoded.remaining())
    }

    override fun equals(other: Any?): Boolean =
        other is EncodedText && size == other.size && occursIn(other.bytes, other.start)

    override fun hashCode(): Int {
        if (hash == NOT_COMPUTED) hash = computeHash()
        return hash
    }

    private fun computeHash(): Int {
        var result = 1
        for (index in start until end) result = HASH_FACTOR * result + bytes[index]
        return result
    }

    private companion object {
        const val NOT_COMPUTED = 0
        const val HASH_FACTOR = 31
    }
}

internal fun encodedTextOf(text: String): EncodedText {
    val bytes = text.encodeToByteArray()
    return EncodedText(bytes, 0, bytes.size)
}
