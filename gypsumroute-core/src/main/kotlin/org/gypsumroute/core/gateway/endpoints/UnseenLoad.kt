package org.gypsumroute.core.gateway.endpoints

import kotlin.math.roundToInt
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.Moment

/**
 * Requests that an endpoint stated at [statedAt] beyond those that this gateway knew of: work that
 * other gateways have not reported yet, or of other callers. They count less with the age of the
 * statement, since reports that are under way soon count them too.
 */
data class UnseenLoad(private val requests: Int = 0, private val statedAt: Moment = Moment.START) {
    /** The requests that still count at [now]. */
    fun requestsAt(now: Moment): Int {
        val age = (now - statedAt) / VALIDITY
        return if (age >= 1) 0 else (requests * (1 - age)).roundToInt()
    }

    private companion object {
        /** A request that is not reported by then has probably ended. */
        val VALIDITY = 1000.milliseconds
    }
}
