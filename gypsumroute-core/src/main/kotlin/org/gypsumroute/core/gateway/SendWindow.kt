package org.gypsumroute.core.gateway

import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.gypsumroute.api.Moment

/** The latest sends to one endpoint. */
data class SendWindow(private val sends: PersistentList<Moment> = persistentListOf()) {
    /** Whether one more send keeps to [rate] a second, counted over the time of at least one. */
    fun allows(now: Moment, rate: Double): Boolean {
        val window = ceil(1 / rate).coerceAtMost(MAX_WINDOW.inWholeSeconds.toDouble()).seconds
        return sends.count { now - it <= window } + 1 <= rate * (window / 1.seconds)
    }

    /** Notes a send. */
    fun with(now: Moment): SendWindow =
        SendWindow(sends.removeAll { now - it > MAX_WINDOW }.add(now))

    private companion object {
        val MAX_WINDOW: Duration = 10.seconds
    }
}
