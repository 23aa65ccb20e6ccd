package org.gypsumroute.api

/**
 * The [era] of an answer of the store. With a [problem], the answer does not state one that can be
 * used, and [era] is the latest one known when the read began.
 */
data class AnsweredEra(val era: StoreEra, val problem: EraProblem? = null) {
    companion object {
        /** Answer of a store that states no eras. */
        val NONE = AnsweredEra(StoreEra.NONE)
    }
}
