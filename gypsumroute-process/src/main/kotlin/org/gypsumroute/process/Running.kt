package org.gypsumroute.process

import java.io.IOException
import java.nio.channels.UnresolvedAddressException
import org.gypsumroute.runtime.LogOutput

/**
 * Runs a process from [start] to its planned or forced end and returns the exit code: 1 if it
 * could not listen, for example because a predecessor still holds the port.
 */
fun runUntilStopped(signals: StopSignals, start: () -> Unit, stop: () -> Unit): Int {
    signals.install()
    try {
        start()
    } catch (failure: IOException) {
        return reportStart(failure)
    } catch (failure: UnresolvedAddressException) {
        return reportStart(failure)
    }
    val code = signals.await()
    stop()
    LogOutput.close()
    return code
}

private fun reportStart(failure: Exception): Int {
    System.err.println("cannot listen: ${failure.javaClass.simpleName}: ${failure.message}")
    return EXIT_NOT_STARTED
}

private const val EXIT_NOT_STARTED = 1
