package org.gypsumroute.runtime

import kotlin.time.Duration

/**
 * Counts good and bad requests of the last [window] in [buckets] equal parts. The oldest part
 * leaves as a whole, so a count covers between (buckets - 1) / buckets and all of the window.
 */
internal class SlidingWindowCounter(val window: Duration, private val buckets: Int) {
    private val width = (window / buckets).inWholeMilliseconds
    private val good = LongArray(buckets)
    private val bad = LongArray(buckets)
    private var newest = 0L

    fun add(elapsed: Duration, isGood: Boolean, times: Long) {
        advance(elapsed)
        val slot = (newest % buckets).toInt()
        if (isGood) good[slot] += times else bad[slot] += times
    }

    /** Good and bad requests in the window that ends at [elapsed]. */
    fun counts(elapsed: Duration): Pair<Long, Long> {
        advance(elapsed)
        return good.sum() to bad.sum()
    }

    private fun advance(elapsed: Duration) {
        val current = elapsed.inWholeMilliseconds / width
        if (current - newest >= buckets) {
            good.fill(0)
            bad.fill(0)
            newest = current
        }
        while (newest < current) {
            newest++
            val slot = (newest % buckets).toInt()
            good[slot] = 0
            bad[slot] = 0
        }
    }
}
