package org.gypsumroute.api

/** Version number of a routing table; later versions are higher, in uneven steps. */
@JvmInline
value class TableVersion(val value: Long) : Comparable<TableVersion> {
    override fun compareTo(other: TableVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
