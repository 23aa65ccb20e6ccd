package org.gypsumroute.core.gateway.attempts

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.gypsumroute.api.Moment

/**
 * Counts requests and retries of one service at this gateway, by the second.
 *
 * The retry limit applies to all gateways together. Each gateway counts its own requests in full
 * and uses an equal share of the fixed allowance, so they stay within the limit without exchanging
 * messages.
 */
data class RetryBudget(private val seconds: PersistentList<SecondCount> = persistentListOf()) {
    /** Requests and retries in the second that begins at [startedAt]. */
    data class SecondCount(val startedAt: Moment, val requests: Int, val retries: Int)

    /** Counts a request that arrived from a caller. Seconds before [window] are forgotten. */
    fun withRequest(now: Moment, window: Duration): RetryBudget =
        keptSince(now, window).add(now, requests = 1, retries = 0)

    /** Counts a request that was sent again. Seconds before [window] are forgotten. */
    fun withRetry(now: Moment, window: Duration): RetryBudget =
        keptSince(now, window).add(now, requests = 0, retries = 1)

    /** Whether one more retry stays within the limit over [window]. */
    fun allows(now: Moment, window: Duration, ratio: Double, allowance: Double): Boolean {
        // A second that lies partly in the window counts for retries but not for requests.
        val retries = seconds.filter {
            now - it.startedAt <= window + 1.seconds
        }.sumOf { it.retries }
        val requests = seconds.filter { now - it.startedAt <= window }.sumOf { it.requests }
        return retries + 1 <= ratio * requests + allowance
    }

    /** Requests that arrived in each of the last [RATE_SECONDS] seconds, on average. */
    fun requestRate(now: Moment): Double =
        seconds.filter { now - it.startedAt <= RATE_SECONDS.seconds }.sumOf { it.requests } /
            RATE_SECONDS.toDouble()

    private fun add(now: Moment, requests: Int, retries: Int): RetryBudget {
        val last = seconds.lastOrNull()
        if (last != null && now - last.startedAt < 1.seconds) {
            val next = last.copy(
                requests = last.requests + requests,
                retries = last.retries + retries
            )
            return RetryBudget(seconds.set(seconds.size - 1, next))
        }
        return RetryBudget(seconds.add(SecondCount(now, requests, retries)))
    }

    /** A second that began before the window may lie partly in it. */
    private fun keptSince(now: Moment, window: Duration): RetryBudget {
        val kept = maxOf(window, RATE_SECONDS.seconds) + 1.seconds
        val expired = seconds.takeWhile { now - it.startedAt > kept }.size
        return if (expired == 0) this else RetryBudget(seconds.drop(expired).toPersistentList())
    }

    private companion object {
        const val RATE_SECONDS = 2
    }
}
