package org.gypsumroute.core.gateway.endpoints

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Moment

/**
 * Recent health of an endpoint. [rateAtUpdate] is a moving average of the attempts that failed for
 * a reason of the endpoint's own, as of [updatedAt]; it decays while nothing is sent there. An
 * endpoint that could not be reached is suspended until [suspendedUntil]; the suspension doubles
 * with each of the [consecutiveUnreachable] attempts.
 */
data class EndpointHealth(
    private val rateAtUpdate: Double = 0.0,
    private val updatedAt: Moment = Moment.START,
    private val consecutiveUnreachable: Int = 0,
    val suspendedUntil: Moment = Moment.START
) {
    /** The share of attempts, from 0 to 1, that is expected to fail at [now]. */
    fun failureRate(now: Moment): Double = rateAtUpdate *
        DECAY_PER_HALF_LIFE.pow((now - updatedAt).coerceAtLeast(Duration.ZERO) / HALF_LIFE)

    /** Records an attempt that the endpoint served, or answered without running it. */
    fun afterAnswer(now: Moment): EndpointHealth = copy(
        rateAtUpdate = averaged(now, 0.0, LATEST_ATTEMPT_WEIGHT),
        updatedAt = now,
        consecutiveUnreachable = 0
    )

    /** Records a failure of a kind that healthy endpoints also show occasionally. */
    fun afterFailure(now: Moment): EndpointHealth = copy(
        rateAtUpdate = averaged(now, 1.0, LATEST_ATTEMPT_WEIGHT),
        updatedAt = now,
        consecutiveUnreachable = 0
    )

    /** Records an answer that broke off or never came. */
    fun afterLostAnswer(now: Moment): EndpointHealth =
        copy(rateAtUpdate = averaged(now, 1.0, LOST_ATTEMPT_WEIGHT), updatedAt = now)

    /** Records that no connection could be opened, and suspends the endpoint. */
    fun afterUnreachable(now: Moment): EndpointHealth {
        val wait = (FIRST_SUSPENSION * 2.0.pow(consecutiveUnreachable)).coerceAtMost(MAX_SUSPENSION)
        return EndpointHealth(
            averaged(now, 1.0, LOST_ATTEMPT_WEIGHT),
            now,
            consecutiveUnreachable + 1,
            now + wait
        )
    }

    private fun averaged(now: Moment, sample: Double, weight: Double): Double {
        val current = failureRate(now)
        return current + (sample - current) * weight
    }

    private companion object {
        /** Weight of the latest attempt in the moving average. */
        const val LATEST_ATTEMPT_WEIGHT = 0.3

        /** Weight of the latest attempt if it failed in a way that no healthy endpoint shows. */
        const val LOST_ATTEMPT_WEIGHT = 0.6
        const val DECAY_PER_HALF_LIFE = 0.5

        /** Time after which a failure counts for half as much. */
        val HALF_LIFE = 4.seconds
        val FIRST_SUSPENSION = 500.milliseconds
        val MAX_SUSPENSION = 4.seconds
    }
}
