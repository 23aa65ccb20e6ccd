package org.gypsumroute.core.gateway

import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.gypsumroute.api.Moment

/** The sends of the last second to one endpoint. */
data class SendWindow(private val sends: PersistentList<Moment> = persistentListOf()) {
    /** Sends in the second before [now]. */
    fun count(now: Moment): Int = sends.count { now - it <= 1.seconds }

    /** Notes a send. */
    fun with(now: Moment): SendWindow =
        SendWindow(sends.removeAll { now - it > 1.seconds }.add(now))
}
