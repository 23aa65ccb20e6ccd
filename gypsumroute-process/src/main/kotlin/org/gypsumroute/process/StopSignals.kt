package org.gypsumroute.process

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import sun.misc.Signal

/**
 * Handles SIGTERM and SIGINT: begins a planned stop by [drain] and waits for its end, for
 * [drainLimit] at most.
 *
 * The JVM's default handler for SIGTERM would end the process with exit code 143 while work is
 * still running, so it is replaced.
 */
class StopSignals(private val drainLimit: Duration, private val drain: () -> Unit) {
    private val stopRequests = AtomicInteger()
    private val exitCode = AtomicInteger(EXIT_FORCED)
    private val processMayEnd = CountDownLatch(1)
    private val stopBegun = CountDownLatch(1)

    /** Replaces the JVM's signal handlers. */
    fun install() {
        for (name in listOf("TERM", "INT")) Signal.handle(Signal(name)) { stopRequested() }
    }

    /** The first call begins a planned stop; a further one ends the process at once. */
    fun stopRequested() {
        if (stopRequests.incrementAndGet() == 1) {
            drain()
            stopBegun.countDown()
        } else {
            processMayEnd.countDown()
        }
    }

    /** Reports that the work has ended, so that the process may exit with [code]. */
    fun finished(code: Int) {
        exitCode.set(code)
        stopBegun.countDown()
        processMayEnd.countDown()
    }

    /**
     * Waits for the end of the process and returns its exit code, which is 1 if the planned stop
     * did not finish.
     */
    fun await(): Int {
        stopBegun.await()
        processMayEnd.await(drainLimit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return exitCode.get()
    }

    private companion object {
        const val EXIT_FORCED = 1
    }
}
