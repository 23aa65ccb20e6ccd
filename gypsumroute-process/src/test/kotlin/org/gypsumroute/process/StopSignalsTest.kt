package org.gypsumroute.process

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StopSignalsTest {
    private var drains = 0

    private fun stopSignals(drainLimit: Duration = 10.seconds) =
        StopSignals({ drainLimit }) { drains++ }

    private fun StopSignals.awaitInBackground() = CompletableFuture.supplyAsync { await() }

    private fun assertStillWaits(exitCode: CompletableFuture<Int>) {
        assertFailsWith<TimeoutException> { exitCode.get(100, TimeUnit.MILLISECONDS) }
    }

    /** Guards against a repeated SIGTERM that ends the process with requests open. */
    @Test
    fun `a repeated SIGTERM does not end a planned stop early`() {
        val signals = stopSignals()
        val exitCode = signals.awaitInBackground()
        repeat(3) { signals.terminateReceived() }
        assertStillWaits(exitCode)
        signals.finished(0)
        assertEquals(0, exitCode.get(1, TimeUnit.SECONDS))
        assertEquals(1, drains)
    }

    @Test
    fun `one SIGINT begins a planned stop and a second one ends the process`() {
        val signals = stopSignals()
        val exitCode = signals.awaitInBackground()
        signals.interruptReceived()
        assertStillWaits(exitCode)
        signals.interruptReceived()
        assertEquals(1, exitCode.get(1, TimeUnit.SECONDS))
        assertEquals(1, drains)
    }

    @Test
    fun `a single SIGINT during a planned stop does not end it early`() {
        val signals = stopSignals()
        val exitCode = signals.awaitInBackground()
        signals.terminateReceived()
        signals.interruptReceived()
        signals.terminateReceived()
        assertStillWaits(exitCode)
        signals.interruptReceived()
        assertEquals(1, exitCode.get(1, TimeUnit.SECONDS))
    }

    @Test
    fun `a planned stop that does not finish ends at the drain limit with exit code 1`() {
        val signals = stopSignals(drainLimit = 50.milliseconds)
        val exitCode = signals.awaitInBackground()
        signals.terminateReceived()
        assertEquals(1, exitCode.get(1, TimeUnit.SECONDS))
    }

    /** Guards against a changed setting that ends the process while the drain may go on. */
    @Test
    fun `a drain limit that is raised after the start or during the drain holds`() {
        var drainLimit = 50.milliseconds
        val signals = StopSignals({ drainLimit }) { drains++ }
        drainLimit = 200.milliseconds
        val exitCode = signals.awaitInBackground()
        signals.terminateReceived()
        assertStillWaits(exitCode)
        drainLimit = 10.seconds
        assertFailsWith<TimeoutException> { exitCode.get(500, TimeUnit.MILLISECONDS) }
        signals.finished(0)
        assertEquals(0, exitCode.get(1, TimeUnit.SECONDS))
    }
}
