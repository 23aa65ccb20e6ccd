package org.gypsumroute.core.gateway

import org.gypsumroute.api.Moment
import org.gypsumroute.api.UnixTime

/**
 * The start [startedAt] of an endpoint stated at [statedAt] that it leaves, to this gateway if
 * [own], else to another one.
 *
 * The gateway that heard it may have had an old record, so that a later start had answered.
 * [lastStart] is the latest one that can have made the statement.
 */
data class LeavingMark(
    val startedAt: UnixTime?,
    val statedAt: Moment,
    val lastStart: UnixTime,
    val own: Boolean
) {
    /** Whether the start in a record leaves. A record without a start is not known to be newer. */
    fun holdsFor(start: UnixTime?): Boolean =
        start == null || start.milliseconds <= lastStart.milliseconds
}
