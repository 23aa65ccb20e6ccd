package org.gypsumroute.api

/** One read of the store by this process; later reads have higher values. */
@JvmInline
value class ReadId(val value: Long) : Comparable<ReadId> {
    fun next(): ReadId = ReadId(value + 1)

    override fun compareTo(other: ReadId): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    companion object {
        val NONE = ReadId(0)
    }
}
