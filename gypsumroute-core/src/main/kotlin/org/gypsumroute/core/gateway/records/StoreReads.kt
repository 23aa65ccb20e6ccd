package org.gypsumroute.core.gateway.records

import kotlin.time.Duration
import org.gypsumroute.api.Moment
import org.gypsumroute.api.ReadId

/**
 * The reads of the store by this gateway.
 *
 * [latest] is the read that was started last, and [awaited] tells whether it has not ended.
 * [failures] counts the reads that failed or were overdue since the last answer of the store, at
 * [lastAnswerAt]. The store is known to have answered some gateway at [lastHeardAt]; both are null
 * if there was no answer. [changesUnreadable] tells whether the changes after
 * the known revision could not be read, so that all records are read instead.
 */
data class StoreReads(
    val latest: ReadId = ReadId.NONE,
    val awaited: Boolean = false,
    val failures: Int = 0,
    val lastAnswerAt: Moment? = null,
    val lastHeardAt: Moment? = null,
    val changesUnreadable: Boolean = false
) {
    /** Time since the store last answered this gateway, or null if it never has. */
    fun silenceAt(now: Moment): Duration? = lastAnswerAt?.let { now - it }
}
