package org.gypsumroute.api

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A reading of this process's monotonic clock, in milliseconds since the process started.
 *
 * Moments of different processes are not comparable; deadlines travel as remaining time.
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
