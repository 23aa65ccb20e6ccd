package org.gypsumroute.process

import java.io.IOException
import java.nio.channels.UnresolvedAddressException
import org.gypsumroute.runtime.LogOutput

/**
 * Runs a process from [start] to its planned or forced end and returns the exit code. The code is 1
 * if the process could not listen, for example because a predecessor still holds the port.
 */
fun runUntilStopped(signals: StopSignals, start: () -> Unit, stop: () -> Unit): Int {
    signals.install()
    try {
        start()
    } catch (failure: IOException) {
        return reportStartFailure(failure)
    } catch (failure: UnresolvedAddressException) {
        return reportStartFailure(failure)
    }
    val code = signals.await()
    stop()
    LogOutput.close()
    return code
}

private fun reportStartFailure(failure: Exception): Int {
    System.err.println("cannot listen: ${failure.javaClass.simpleName}: ${failure.message}")
    return EXIT_START_FAILED
}

private const val EXIT_START_FAILED = 1
