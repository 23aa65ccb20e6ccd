/*
 * Compression of documents, which are text and travel rarely.
 */
package org.gypsumroute.wire

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

internal fun deflate(bytes: ByteArray): ByteArray {
    require(bytes.size <= MAX_DOCUMENT_BYTES) { "document is larger than $MAX_DOCUMENT_BYTES" }
    val output = ByteArrayOutputStream()
    DeflaterOutputStream(output).use { it.write(bytes) }
    return output.toByteArray()
}

/** Throws IOException or IllegalArgumentException for bytes that are no deflated document. */
internal fun inflate(bytes: ByteArray): ByteArray =
    InflaterInputStream(ByteArrayInputStream(bytes)).use { input ->
        val inflated = input.readNBytes(MAX_DOCUMENT_BYTES + 1)
        require(inflated.size <= MAX_DOCUMENT_BYTES) {
            "inflated document is larger than $MAX_DOCUMENT_BYTES"
        }
        inflated
    }
