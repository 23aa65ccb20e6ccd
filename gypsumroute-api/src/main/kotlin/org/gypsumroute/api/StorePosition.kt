package org.gypsumroute.api

/**
 * Position in the changes of the store. A [revision] says nothing about those of an earlier [era],
 * since the store assigns revisions again when it comes back from an older copy.
 */
data class StorePosition(val era: StoreEra, val revision: Revision) : Comparable<StorePosition> {
    override fun compareTo(other: StorePosition): Int =
        compareValuesBy(this, other, { it.era }, { it.revision })

    companion object {
        val NONE = StorePosition(StoreEra.NONE, Revision.NONE)
    }
}
