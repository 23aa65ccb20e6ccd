package org.gypsumroute.api

/**
 * Number of an order to an engine. An engine that supports fencing refuses orders with a lower
 * number than the highest that it accepted, so that a delayed order can't undo a later one.
 */
@JvmInline
value class FencingNumber(val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    /** The number for the next order. */
    fun next(): FencingNumber = FencingNumber(value + 1)

    override fun toString(): String = value.toString()
}
