package org.gypsumroute.core.gateway.endpoints

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
    /** Whether the start can only have said so itself, as in its published record. */
    val isOfRecord: Boolean get() = startedAt == lastStart

    /** Whether the start in a record leaves. A record without a start is not known to be newer. */
    fun holdsFor(start: UnixTime?): Boolean = start == null || start <= lastStart

    /**
     * The mark after another statement. The latest start counts, so that neither a report nor a
     * late answer of an earlier one ends the mark. An own statement that names no later start may
     * still come from one that is not published yet.
     */
    fun mergedWith(other: LeavingMark): LeavingMark {
        val latest = maxOf(lastStart, other.lastStart)
        return when {
            startedAt.isBefore(other.startedAt) -> other.copy(lastStart = latest)
            other.own -> copy(own = own || startedAt == other.startedAt, lastStart = latest)
            else -> this
        }
    }
}

/** Whether a start is earlier than [other]; one that is not known is earlier than any other. */
internal fun UnixTime?.isBefore(other: UnixTime?): Boolean =
    other != null && (this == null || this < other)
