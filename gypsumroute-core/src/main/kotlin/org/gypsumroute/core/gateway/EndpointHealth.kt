package org.gypsumroute.core.gateway

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Moment

/**
 * How an endpoint served lately. [failureShare] is a moving share of attempts that failed for a
 * reason of the endpoint's own, as of [updatedAt]; it fades while nothing is sent there.
 */
data class EndpointHealth(
    private val failureShare: Double = 0.0,
    private val updatedAt: Moment = Moment.START
) {
    /** The share of attempts (0 to 1) that is expected to fail now. */
    fun failureShare(now: Moment): Double =
        failureShare * HALF.pow((now - updatedAt).coerceAtLeast(Duration.ZERO) / FADING)

    /**
     * Notes the end of an attempt. [failure] is 0 for success and 1 for a failure; more for one
     * that leaves no doubt.
     */
    fun after(now: Moment, failure: Double): EndpointHealth {
        val share = failureShare(now)
        val seen = failure.coerceAtMost(1.0)
        val weight = WEIGHT * failure.coerceAtLeast(1.0)
        return EndpointHealth(share + (seen - share) * weight, now)
    }

    private companion object {
        /** Weight of the newest attempt. */
        const val WEIGHT = 0.3
        const val HALF = 0.5

        /** Time after which a failure counts half. */
        val FADING = 4.seconds
    }
}
