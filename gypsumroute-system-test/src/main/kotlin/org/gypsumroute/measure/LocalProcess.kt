package org.gypsumroute.measure

import java.io.File
import java.util.concurrent.TimeUnit

/** A child process of this program; its output is appended to [log]. */
internal class LocalProcess(val name: String, private val process: Process, val log: File) {
    val pid: Long get() = process.pid()

    val isAlive: Boolean get() = process.isAlive

    /** Ends the process with SIGKILL, without a planned stop, and waits for its end. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Sends SIGTERM, which starts a planned stop. */
    fun terminate() = process.destroy()

    /** Waits for the exit code; kills the process after [seconds] and then returns null. */
    fun awaitExit(seconds: Long): Int? {
        if (process.waitFor(seconds, TimeUnit.SECONDS)) return process.exitValue()
        kill()
        return null
    }

    companion object {
        /** Starts [command] with [environment] added to the variables of this process. */
        fun start(
            name: String,
            command: List<String>,
            environment: Map<String, String>,
            log: File
        ): LocalProcess {
            val builder = ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            builder.environment().putAll(environment)
            return LocalProcess(name, builder.start(), log)
        }
    }
}
