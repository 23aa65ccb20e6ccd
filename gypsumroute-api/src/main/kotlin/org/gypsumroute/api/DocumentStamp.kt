package org.gypsumroute.api

/** Position of a document in its service's order: version first, then digest. */
data class DocumentStamp(val version: DocumentVersion, val digest: DocumentDigest) :
    Comparable<DocumentStamp> {
    override fun compareTo(other: DocumentStamp): Int =
        compareValuesBy(this, other, { it.version }, { it.digest.value })
}
