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

    /** Ends the process with SIGKILL, also if it is stopped, and waits for its end. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor(KILL_SECONDS, TimeUnit.SECONDS)
    }

    /** The exit code; fails after [limit]. */
    fun awaitExit(limit: Duration): Int {
        val ended = process.waitFor(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        check(ended) { "$name is still running after $limit; ${tail()}" }
        return process.exitValue()
    }

    /** The log's lines so far that contain [text]. */
    fun logged(text: String): List<String> = Files.readAllLines(log).filter { text in it }

    /** Bytes of live objects on the heap of a Java process; runs a full collection first. */
    fun liveHeapBytes(): Long {
        val jmap = ProcessBuilder("jcmd", process.pid().toString(), "GC.class_histogram").start()
        val total = jmap.inputReader().readLines().last { it.startsWith("Total") }
        return total.split(Regex("\\s+"))[2].toLong()
    }

    /** The last lines of the log, for messages of failed checks. */
    fun tail(): String = Files.readAllLines(log).takeLast(TAIL_LINES)
        .joinToString("\n", prefix = "log of $name:\n") { it.take(LINE_LENGTH) }

    private companion object {
        const val KILL_SECONDS = 5L
        const val TAIL_LINES = 12
        const val LINE_LENGTH = 240
    }
}
