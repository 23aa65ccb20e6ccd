package org.gypsumroute.core.gateway.records

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.gypsumroute.api.EraProblem
import org.gypsumroute.api.Moment
import org.gypsumroute.api.ReadId
import org.gypsumroute.api.StoreEra

/**
 * The reads of the store by this gateway.
 *
 * [latest] is the read that was started last, and [awaited] tells whether it has not ended.
 * [failures] counts the reads that failed or were overdue since the last answer of the store, at
 * [lastAnswerAt]. The store is known to have answered some gateway at [lastHeardAt]; both are null
 * if there was no answer. [changesUnreadable] tells whether the changes after
 * the known revision could not be read, so that all records are read instead.
 *
 * [era] is the latest era of the store that is known, and [eraProblems] are those that were logged
 * since it began. [historyLosses] counts the times in a row that the store no longer had the
 * changes that were asked for.
 */
data class StoreReads(
    val latest: ReadId = ReadId.NONE,
    val awaited: Boolean = false,
    val failures: Int = 0,
    val lastAnswerAt: Moment? = null,
    val lastHeardAt: Moment? = null,
    val changesUnreadable: Boolean = false,
    val era: StoreEra = StoreEra.NONE,
    val eraProblems: PersistentSet<EraProblem> = persistentSetOf(),
    val historyLosses: Int = 0
) {
    /** Time since the store last answered this gateway, or null if it never has. */
    fun silenceAt(now: Moment): Duration? = lastAnswerAt?.let { now - it }
}
