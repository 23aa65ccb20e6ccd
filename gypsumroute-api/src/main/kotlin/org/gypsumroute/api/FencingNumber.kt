package org.gypsumroute.api

/** Number on an order to an engine; a fencing engine refuses orders below its highest. */
@JvmInline
value class FencingNumber(val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    /** The number for the next order. */
    fun next(): FencingNumber = FencingNumber(value + 1)

    override fun toString(): String = value.toString()
}
