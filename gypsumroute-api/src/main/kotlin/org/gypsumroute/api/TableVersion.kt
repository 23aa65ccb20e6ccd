package org.gypsumroute.api

/** Version number of a routing table. Later versions are higher, but not always by one. */
@JvmInline
value class TableVersion(val value: Long) : Comparable<TableVersion> {
    override fun compareTo(other: TableVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
