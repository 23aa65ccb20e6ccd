package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.gypsumroute.api.Moment

/**
 * Counts requests and repeats of one service at this gateway, second by second.
 *
 * The limit applies to all gateways together. Each counts its own requests in full and takes an
 * equal share of the fixed allowance, so that no message is needed to stay within it.
 */
data class RetryBudget(private val seconds: PersistentList<Count> = persistentListOf()) {
    /** Requests and repeats that arrived in the second that begins at [from]. */
    data class Count(val from: Moment, val requests: Int, val repeats: Int)

    /** Notes one request of a caller. */
    fun withRequest(now: Moment): RetryBudget = add(now, requests = 1, repeats = 0)

    /** Notes that a request was sent once more. */
    fun withRetry(now: Moment): RetryBudget = add(now, requests = 0, repeats = 1)

    /** Whether one more repeat stays within the limit over [window]. */
    fun allows(now: Moment, window: Duration, ratio: Double, allowance: Double): Boolean {
        // A second that lies partly in the window counts for repeats and not for requests.
        val repeats = seconds.filter { now - it.from <= window + 1.seconds }.sumOf { it.repeats }
        val requests = seconds.filter { now - it.from <= window }.sumOf { it.requests }
        return repeats + 1 <= ratio * requests + allowance
    }

    private fun add(now: Moment, requests: Int, repeats: Int): RetryBudget {
        val last = seconds.lastOrNull()
        if (last != null && now - last.from < 1.seconds) {
            val next = last.copy(
                requests = last.requests + requests,
                repeats = last.repeats + repeats
            )
            return RetryBudget(seconds.set(seconds.size - 1, next))
        }
        val kept = if (seconds.size < MAX_WINDOW_SECONDS) seconds else seconds.removeAt(0)
        return RetryBudget(kept.add(Count(now, requests, repeats)))
    }

    private companion object {
        const val MAX_WINDOW_SECONDS = 64
    }
}
