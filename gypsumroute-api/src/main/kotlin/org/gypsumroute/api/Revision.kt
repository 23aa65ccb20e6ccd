package org.gypsumroute.api

/**
 * Revision of the published records as a whole; each change of any record increases it within one
 * era of the store.
 */
@JvmInline
value class Revision(val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    companion object {
        val NONE = Revision(0)
    }
}
