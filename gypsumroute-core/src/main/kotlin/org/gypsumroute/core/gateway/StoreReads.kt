package org.gypsumroute.core.gateway

import org.gypsumroute.api.Moment
import org.gypsumroute.api.ReadId

/**
 * The reads of the store by this gateway.
 *
 * [latest] is the read that was started last, and [awaited] tells whether it has not ended.
 * [failures] counts the reads that failed or were overdue since the last answer of the store, at
 * [lastAnswerAt]. [changesUnreadable] tells whether the changes after
 * the known revision could not be read, so that all records are read instead.
 */
data class StoreReads(
    val latest: ReadId = ReadId.NONE,
    val awaited: Boolean = false,
    val failures: Int = 0,
    val lastAnswerAt: Moment = Moment.START,
    val changesUnreadable: Boolean = false
)
