package org.gypsumroute.api

/** A count of bytes. */
@JvmInline
value class Bytes(val count: Long) : Comparable<Bytes> {
    operator fun plus(other: Bytes): Bytes = Bytes(count + other.count)

    operator fun minus(other: Bytes): Bytes = Bytes(count - other.count)

    override fun compareTo(other: Bytes): Int = count.compareTo(other.count)

    override fun toString(): String = count.toString()

    companion object {
        val ZERO = Bytes(0)
    }
}
