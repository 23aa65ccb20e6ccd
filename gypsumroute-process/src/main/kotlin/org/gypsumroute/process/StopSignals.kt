package org.gypsumroute.process

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.TimeSource
import sun.misc.Signal

/**
 * Handles SIGTERM and SIGINT: begins a planned stop by [drain] and waits for its end, for
 * [drainLimit] at most. The limit is read again when it is reached, since settings may change it.
 *
 * Platforms repeat SIGTERM, so a repeated one changes nothing. A person at a terminal can end the
 * process with a second SIGINT.
 *
 * The JVM's default handler for SIGTERM would end the process with exit code 143 while work is
 * still running, so it is replaced.
 */
class StopSignals(private val drainLimit: () -> Duration, private val drain: () -> Unit) {
    private val drainRequested = AtomicBoolean()
    private val interrupted = AtomicBoolean()
    private val exitCode = AtomicInteger(EXIT_FORCED)
    private val processMayEnd = CountDownLatch(1)
    private val stopBegun = CountDownLatch(1)

    /** Replaces the JVM's signal handlers. */
    fun install() {
        Signal.handle(Signal("TERM")) { terminateReceived() }
        Signal.handle(Signal("INT")) { interruptReceived() }
    }

    /**
     * Makes SIGHUP the same as SIGTERM, for processes that have nothing to reload. The JVM's
     * default handler would end them with work still running.
     */
    fun stopOnHangUp() = Signal.handle(Signal("HUP")) { terminateReceived() }

    /** Begins a planned stop. A further call changes nothing. */
    fun terminateReceived() {
        if (!drainRequested.compareAndSet(false, true)) return
        drain()
        stopBegun.countDown()
    }

    /** The first call begins a planned stop; a further one ends the process at once. */
    fun interruptReceived() {
        if (interrupted.compareAndSet(false, true)) {
            terminateReceived()
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
        val stopBeganAt = TimeSource.Monotonic.markNow()
        do {
            val timeLeft = drainLimit() - stopBeganAt.elapsedNow()
        } while (timeLeft.isPositive() && !awaitEnd(timeLeft))
        return exitCode.get()
    }

    private fun awaitEnd(limit: Duration): Boolean =
        processMayEnd.await(limit.inWholeMicroseconds, TimeUnit.MICROSECONDS)

    private companion object {
        const val EXIT_FORCED = 1
    }
}
