package org.gypsumroute.api

/** The exact bytes of a service document; the array must not be changed. */
class DocumentContent(val bytes: ByteArray) {
    override fun equals(other: Any?): Boolean =
        other is DocumentContent && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "${bytes.size} bytes"
}
