package org.gypsumroute.core.gateway.endpoints

import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.gypsumroute.api.Moment
import org.gypsumroute.core.gateway.attempts.send

/** The times of the latest sends to one endpoint. */
data class SendWindow(private val sentAt: PersistentList<Moment> = persistentListOf()) {
    /**
     * Whether one more send at [now] stays within [ratePerSecond]. Sends are counted over a window
     * in whole seconds that is long enough for one send at this rate, at most [MAX_WINDOW].
     */
    fun allows(now: Moment, ratePerSecond: Double): Boolean {
        val window =
            ceil(1 / ratePerSecond).coerceAtMost(MAX_WINDOW.inWholeSeconds.toDouble()).seconds
        return sentAt.count { now - it <= window } + 1 <= ratePerSecond * (window / 1.seconds)
    }

    /** Adds a send at [now] and forgets those that no window covers any more. */
    fun plusSend(now: Moment): SendWindow =
        SendWindow(sentAt.removeAll { now - it > MAX_WINDOW }.add(now))

    private companion object {
        val MAX_WINDOW: Duration = 10.seconds
    }
}
