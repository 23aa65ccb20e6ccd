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
 * if there was no answer. [changesUnreadable] tells whether the changes after the known revision
 * could not be read, so that all records are read instead. If all of them are necessary,
 * [fullReadAfter] is the latest read that had begun when they became so, else null.
 *
 * [era] is the latest era that the store stated, [reportedEra] the latest one that another gateway
 * reported, and [eraProblems] are the problems that were logged since [era] began.
 *
 * The latest read began at [latestAt] and lets the store wait for [latestWait] before it answers.
 * [fruitlessAnswers] counts the answers in a row that came without that wait and without records to
 * take over, so that reading again at once would only bring the next of them.
 */
data class StoreReads(
    val latest: ReadId = ReadId.NONE,
    val awaited: Boolean = false,
    val failures: Int = 0,
    val lastAnswerAt: Moment? = null,
    val lastHeardAt: Moment? = null,
    val changesUnreadable: Boolean = false,
    val fullReadAfter: ReadId? = null,
    val era: StoreEra = StoreEra.NONE,
    val reportedEra: StoreEra = StoreEra.NONE,
    val eraProblems: PersistentSet<EraProblem> = persistentSetOf(),
    val latestAt: Moment = Moment.START,
    val latestWait: Duration = Duration.ZERO,
    val fruitlessAnswers: Int = 0
) {
    /** Time since the store last answered this gateway, or null if it never has. */
    fun silenceAt(now: Moment): Duration? = lastAnswerAt?.let { now - it }
}
