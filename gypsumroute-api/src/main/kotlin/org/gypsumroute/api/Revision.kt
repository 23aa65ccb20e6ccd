package org.gypsumroute.api

/** Position in the history of the published records; raised by each change of any record. */
@JvmInline
value class Revision(val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    companion object {
        val NONE = Revision(0)
    }
}
