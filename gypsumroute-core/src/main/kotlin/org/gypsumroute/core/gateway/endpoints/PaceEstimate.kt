package org.gypsumroute.core.gateway.endpoints

import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Moment

/**
 * What this gateway observed of the pace of one start of an endpoint: a moving average of the
 * logarithms of observed times over expected ones. [mean] and [variance] are those of the
 * observations; [weightAtUpdate] is the number of them, as of [updatedAt], in which each counts for
 * half as much after [HALF_LIFE].
 */
data class PaceEstimate(
    val mean: Double = 0.0,
    val variance: Double = 0.0,
    private val weightAtUpdate: Double = 0.0,
    private val updatedAt: Moment = Moment.START
) {
    /** The number of observations that still count at [now]. */
    fun weight(now: Moment): Double = weightAtUpdate *
        DECAY_PER_HALF_LIFE.pow((now - updatedAt).coerceAtLeast(Duration.ZERO) / HALF_LIFE)

    /** Adds an observation of [ratio] times the expected time. */
    fun plus(now: Moment, ratio: Double): PaceEstimate {
        val observation = ln(ratio.coerceIn(1 / LARGEST_RATIO, LARGEST_RATIO))
        val previousWeight = weight(now).coerceAtMost(LARGEST_PREVIOUS_WEIGHT)
        val nextWeight = previousWeight + 1
        val difference = observation - mean
        val nextMean = mean + difference / nextWeight
        val nextVariance =
            (previousWeight * variance + difference * (observation - nextMean)) / nextWeight
        return PaceEstimate(nextMean, nextVariance, nextWeight, now)
    }

    private companion object {
        const val DECAY_PER_HALF_LIFE = 0.5

        /** Bounds what a single observation can change. */
        const val LARGEST_RATIO = 32.0

        /** With more, an endpoint that turns slow would need many requests to show it. */
        const val LARGEST_PREVIOUS_WEIGHT = 4.0

        /** Time after which an observation counts for half as much. */
        val HALF_LIFE = 10.seconds
    }
}
