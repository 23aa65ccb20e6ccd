package org.gypsumroute.api

/** A time of day in milliseconds since 1970. Clocks of hosts differ, and may jump by seconds. */
@JvmInline
value class UnixTime(val milliseconds: Long) : Comparable<UnixTime> {
    override fun compareTo(other: UnixTime): Int = milliseconds.compareTo(other.milliseconds)
}
