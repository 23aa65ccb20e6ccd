package org.gypsumroute.api

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A point in time on the monotonic clock of this process, in milliseconds since its start.
 *
 * Moments of different processes can't be compared, so messages carry deadlines as remaining time.
 */
@JvmInline
value class Moment(val milliseconds: Long) : Comparable<Moment> {
    operator fun plus(duration: Duration): Moment =
        Moment(milliseconds + duration.inWholeMilliseconds)

    operator fun minus(other: Moment): Duration = (milliseconds - other.milliseconds).milliseconds

    override fun compareTo(other: Moment): Int = milliseconds.compareTo(other.milliseconds)

    override fun toString(): String = "${milliseconds}ms"

    companion object {
        val START = Moment(0)
    }
}
