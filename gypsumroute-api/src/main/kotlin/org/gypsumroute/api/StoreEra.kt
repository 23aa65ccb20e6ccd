package org.gypsumroute.api

/**
 * Era of the store. It rises each time the store comes back from an older copy of its items, after
 * which it assigns revisions again that it had assigned before.
 */
@JvmInline
value class StoreEra(val value: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    companion object {
        /** Era of a store that has stated none. */
        val NONE = StoreEra(0)
    }
}
