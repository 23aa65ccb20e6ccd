/*
 * Timing and heap readings for the slopes of docs/CAPACITY.md.
 */
package org.gypsumroute.capacity

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Microseconds that one call of [work] takes: the median of several rounds after a warm-up. */
internal fun microsecondsPerCall(work: () -> Unit): Double {
    runFor(WARM_UP_MILLISECONDS, work)
    return (1..ROUNDS).map { runFor(ROUND_MILLISECONDS, work) }.sorted()[ROUNDS / 2]
}

/** Bytes of heap that the result of [build] retains. */
internal fun retainedBytes(build: () -> Any): Long {
    // A first build loads classes and fills caches, which later builds share.
    build()
    // A first build loads classes and fills caches, which later builds share.
    build()
    val before = usedHeap()
    val built = build()
    val after = usedHeap()
    check(built.hashCode() != Int.MIN_VALUE || after >= 0)
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

private fun usedHeap(): Long {
    repeat(COLLECTIONS) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}

private const val WARM_UP_MILLISECONDS = 300
private const val ROUND_MILLISECONDS = 100
private const val ROUNDS = 7
private const val COLLECTIONS = 3
