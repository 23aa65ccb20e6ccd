package org.gypsumroute.runtime

import kotlin.time.Duration

/**
 * Counts the good and bad requests of the latest [window] in [bucketCount] buckets of equal length.
 *
 * The oldest bucket is discarded as a whole, so a count covers at least the part
 * (bucketCount - 1) / bucketCount of the window. Times are measured from a fixed origin.
 */
internal class SlidingWindowCounter(val window: Duration, private val bucketCount: Int) {
    private val bucketMilliseconds = (window / bucketCount).inWholeMilliseconds
    private val good = LongArray(bucketCount)
    private val bad = LongArray(bucketCount)
    private var newestBucket = 0L

    fun add(elapsed: Duration, isGood: Boolean, requests: Long) {
        advance(elapsed)
        val slot = (newestBucket % bucketCount).toInt()
        if (isGood) good[slot] += requests else bad[slot] += requests
    }

    /** Number of good and of bad requests in the window that ends at [elapsed]. */
    fun counts(elapsed: Duration): RequestCounts {
        advance(elapsed)
        return RequestCounts(good.sum(), bad.sum())
    }

    private fun advance(elapsed: Duration) {
        val current = elapsed.inWholeMilliseconds / bucketMilliseconds
        if (current - newestBucket >= bucketCount) {
            good.fill(0)
            bad.fill(0)
            newestBucket = current
        }
        while (newestBucket < current) {
            newestBucket++
            val slot = (newestBucket % bucketCount).toInt()
            good[slot] = 0
            bad[slot] = 0
        }
    }
}

/** Requests that met their objective, and those that did not. */
internal data class RequestCounts(val good: Long, val bad: Long)
