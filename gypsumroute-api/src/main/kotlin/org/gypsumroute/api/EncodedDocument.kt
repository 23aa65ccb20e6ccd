package org.gypsumroute.api

/** A document as it was read: its stamp, its bytes and what they mean. */
class EncodedDocument(
    val document: ServiceDocument,
    val digest: DocumentDigest,
    val content: DocumentContent
) {
    val stamp: DocumentStamp get() = DocumentStamp(document.version, digest)

    override fun equals(other: Any?): Boolean = other is EncodedDocument && other.digest == digest

    override fun hashCode(): Int = digest.hashCode()

    override fun toString(): String = "${document.service} version $stamp"
}
