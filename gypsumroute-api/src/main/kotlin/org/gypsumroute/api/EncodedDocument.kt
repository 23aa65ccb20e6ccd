package org.gypsumroute.api

/** A service document with the bytes that it was decoded from and their digest. */
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
