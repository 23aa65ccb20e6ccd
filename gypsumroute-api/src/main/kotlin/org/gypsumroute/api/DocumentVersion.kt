package org.gypsumroute.api

/** Version number of a service document; the owning team raises it with each change. */
@JvmInline
value class DocumentVersion(val value: Long) : Comparable<DocumentVersion> {
    override fun compareTo(other: DocumentVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
