package org.gypsumroute.api

/** A count of model tokens. */
@JvmInline
value class Tokens(val count: Long) : Comparable<Tokens> {
    operator fun plus(other: Tokens): Tokens = Tokens(count + other.count)

    operator fun minus(other: Tokens): Tokens = Tokens(count - other.count)

    override fun compareTo(other: Tokens): Int = count.compareTo(other.count)

    override fun toString(): String = count.toString()

    companion object {
        val ZERO = Tokens(0)
    }
}
