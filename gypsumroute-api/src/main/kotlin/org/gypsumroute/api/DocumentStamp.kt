package org.gypsumroute.api

/**
 * Orders the documents of one service, by version and then by digest. The higher stamp wins, so
 * that all processes agree even if two documents carry the same version.
 */
data class DocumentStamp(val version: DocumentVersion, val digest: DocumentDigest) :
    Comparable<DocumentStamp> {
    override fun compareTo(other: DocumentStamp): Int =
        compareValuesBy(this, other, { it.version }, { it.digest.value })
}
