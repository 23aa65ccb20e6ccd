/*
 * Time and heap measurements for the slopes in docs/CAPACITY.md.
 */
package org.gypsumroute.capacity

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Microseconds per call of [work]: the median of [ROUNDS] rounds after a warm-up. */
internal fun microsecondsPerCall(work: () -> Unit): Double {
    runFor(WARM_UP_MILLISECONDS, work)
    return (1..ROUNDS).map { runFor(ROUND_DURATION_MILLISECONDS, work) }.sorted()[ROUNDS / 2]
}

/** Bytes of heap that the result of [build] retains, after full collections. */
internal fun retainedBytes(build: () -> Any): Long {
    // The builds before the measurement load classes and fill caches, which all builds share.
    build()
    build()
    val before = usedHeapAfterCollection()
    val result = build()
    val after = usedHeapAfterCollection()
    // This use keeps the result reachable until the heap has been read.
    check(result.hashCode() != Int.MIN_VALUE || after >= 0)
    return after - before
}

private fun runFor(milliseconds: Int, work: () -> Unit): Double {
    val start = TimeSource.Monotonic.markNow()
    var calls = 0
    while (start.elapsedNow() < milliseconds.milliseconds) {
        work()
        calls++
    }
    return start.elapsedNow().toDouble(DurationUnit.MICROSECONDS) / calls
}

private fun usedHeapAfterCollection(): Long {
    repeat(COLLECTIONS_PER_READING) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}

private const val WARM_UP_MILLISECONDS = 300
private const val ROUND_DURATION_MILLISECONDS = 100
private const val ROUNDS = 7
private const val COLLECTIONS_PER_READING = 3
