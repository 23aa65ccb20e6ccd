package org.gypsumroute.test

/** Counts calls and refuses those beyond [maxCallsPerSecond] in each whole second of the clock. */
internal class CallLimiter(
    private val maxCallsPerSecond: Int,
    private val nanoTime: () -> Long = System::nanoTime
) {
    private var currentSecond = nanoTime() / NANOSECONDS_PER_SECOND
    private var callsInSecond = 0

    /** Calls so far, refused ones included. */
    @Volatile
    var callCount: Long = 0
        private set

    /** Counts a call; returns false if it exceeds the limit of the current second. */
    @Synchronized
    fun tryAcquire(): Boolean {
        val now = nanoTime() / NANOSECONDS_PER_SECOND
        if (now != currentSecond) {
            currentSecond = now
            callsInSecond = 0
        }
        callCount++
        callsInSecond++
        return callsInSecond <= maxCallsPerSecond
    }

    private companion object {
        const val NANOSECONDS_PER_SECOND = 1_000_000_000L
    }
}
