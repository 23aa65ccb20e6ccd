package org.gypsumroute.core.gateway

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Moment

/**
 * How an endpoint served lately. [share] is a moving share of attempts that failed for a reason of
 * the endpoint's own, as of [updatedAt]; it fades while nothing is sent there. An endpoint that
 * could not be reached is left out until [suspendedUntil], the longer the more often in a row.
 */
data class EndpointHealth(
    private val share: Double = 0.0,
    private val updatedAt: Moment = Moment.START,
    private val unreachable: Int = 0,
    val suspendedUntil: Moment = Moment.START
) {
    /** The share of attempts (0 to 1) that is expected to fail now. */
    fun failureRate(now: Moment): Double =
        share * HALF.pow((now - updatedAt).coerceAtLeast(Duration.ZERO) / HALF_LIFE)

    /** Notes an attempt that the endpoint served, or answered without running it. */
    fun afterAnswer(now: Moment): EndpointHealth =
        copy(share = moved(now, 0.0, WEIGHT), updatedAt = now, unreachable = 0)

    /** Notes a failure that sound endpoints also show at times. */
    fun afterFailure(now: Moment): EndpointHealth =
        copy(share = moved(now, 1.0, WEIGHT), updatedAt = now, unreachable = 0)

    /** Notes an answer that broke off or never came. */
    fun afterLostAnswer(now: Moment): EndpointHealth =
        copy(share = moved(now, 1.0, LOST_ATTEMPT_WEIGHT), updatedAt = now)

    /** Notes that no connection could be opened. */
    fun afterUnreachable(now: Moment): EndpointHealth {
        val wait = (FIRST_SUSPENSION * 2.0.pow(unreachable)).coerceAtMost(MAX_SUSPENSION)
        return EndpointHealth(moved(now, 1.0, LOST_ATTEMPT_WEIGHT), now, unreachable + 1, now + wait)
    }

    private fun moved(now: Moment, seen: Double, weight: Double): Double {
        val current = failureRate(now)
        return current + (seen - current) * weight
    }

    private companion object {
        /** Weight of the newest attempt. */
        const val WEIGHT = 0.3

        /** Weight of failures that no sound endpoint shows. */
        const val LOST_ATTEMPT_WEIGHT = 0.6
        const val HALF = 0.5

        /** Time after which a failure counts half. */
        val HALF_LIFE = 4.seconds
        val FIRST_SUSPENSION = 500.milliseconds
        val MAX_SUSPENSION = 4.seconds
    }
}
