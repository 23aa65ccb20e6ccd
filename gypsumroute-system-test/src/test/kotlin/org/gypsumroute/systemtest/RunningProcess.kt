package org.gypsumroute.systemtest

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A process under test and its log file. */
internal class RunningProcess(
    val name: String,
    private val process: Process,
    private val log: Path
) {
    val isAlive: Boolean get() = process.isAlive

    /** Sends a signal by name, such as STOP, CONT, TERM or KILL. */
    fun signal(signal: String) {
        val sent = ProcessBuilder("kill", "-$signal", process.pid().toString()).start()
        check(sent.waitFor() == 0) { "kill -$signal failed for $name" }
    }

    /** Sends SIGKILL, which also ends a stopped process, and waits for the end for at most 5 s. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor(KILL_SECONDS, TimeUnit.SECONDS)
    }

    /** Waits for the exit code; fails after [limit]. */
    fun awaitExit(limit: Duration): Int {
        val ended = process.waitFor(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        check(ended) { "$name is still running after $limit; ${logTail()}" }
        return process.exitValue()
    }

    /** Lines of the log so far that contain [text]. */
    fun logLines(text: String): List<String> = Files.readAllLines(log).filter { text in it }

    /** Last lines of the log, for messages of failed checks. */
    fun logTail(): String = Files.readAllLines(log).takeLast(TAIL_LINES)
        .joinToString("\n", prefix = "log of $name:\n") { it.take(LINE_LENGTH) }

    private companion object {
        const val KILL_SECONDS = 5L
        const val TAIL_LINES = 12
        const val LINE_LENGTH = 240
    }
}
