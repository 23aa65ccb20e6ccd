/*
 * Compression of documents and published items, which are text and travel rarely.
 */
package org.gypsumroute.wire

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

internal fun deflate(bytes: ByteArray, largest: Int = MAX_DOCUMENT_BYTES): ByteArray {
    require(bytes.size <= largest) { "content is larger than $largest" }
    val output = ByteArrayOutputStream()
    DeflaterOutputStream(output).use { it.write(bytes) }
    return output.toByteArray()
}

/** Throws IOException or IllegalArgumentException for bytes that are no deflated content. */
internal fun inflate(bytes: ByteArray, largest: Int = MAX_DOCUMENT_BYTES): ByteArray =
    InflaterInputStream(ByteArrayInputStream(bytes)).use { input ->
        val inflated = input.readNBytes(largest + 1)
        require(inflated.size <= largest) { "inflated content is larger than $largest" }
        inflated
    }
