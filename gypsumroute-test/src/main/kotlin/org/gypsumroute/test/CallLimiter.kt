package org.gypsumroute.test

/** Counts calls and refuses those beyond [perSecond] within one second of the clock. */
internal class CallLimiter(
    private val perSecond: Int,
    private val nanoTime: () -> Long = System::nanoTime
) {
    private var second = nanoTime() / NANOSECONDS_PER_SECOND
    private var inSecond = 0

    /** Calls taken so far, refused ones included. */
    @Volatile
    var taken: Long = 0
        private set

    /** Counts a call; false if the second's calls are used up. */
    @Synchronized
    fun take(): Boolean {
        val now = nanoTime() / NANOSECONDS_PER_SECOND
        if (now != second) {
            second = now
            inSecond = 0
        }
        taken++
        inSecond++
        return inSecond <= perSecond
    }

    private companion object {
        const val NANOSECONDS_PER_SECOND = 1_000_000_000L
    }
}
