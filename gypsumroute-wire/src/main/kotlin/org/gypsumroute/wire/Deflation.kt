/*
 * Compression of documents and published items, which are text and are sent rarely.
 */
package org.gypsumroute.wire

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** Compresses [bytes]. Throws IllegalArgumentException if they exceed [maxBytes]. */
internal fun deflate(bytes: ByteArray, maxBytes: Int = MAX_DOCUMENT_BYTES): ByteArray {
    require(bytes.size <= maxBytes) { "content is larger than $maxBytes" }
    val output = ByteArrayOutputStream()
    DeflaterOutputStream(output).use { it.write(bytes) }
    return output.toByteArray()
}

/**
 * Decompresses [bytes]. Throws IOException for bytes that are not deflated content and
 * IllegalArgumentException if the content exceeds [maxBytes].
 */
internal fun inflate(bytes: ByteArray, maxBytes: Int = MAX_DOCUMENT_BYTES): ByteArray =
    InflaterInputStream(ByteArrayInputStream(bytes)).use { input ->
        val inflated = input.readNBytes(maxBytes + 1)
        require(inflated.size <= maxBytes) { "inflated content exceeds $maxBytes bytes" }
        inflated
    }
