package org.gypsumroute.measure

import java.io.File
import java.util.concurrent.TimeUnit

/** A process that this tool started; its output goes to [log]. */
internal class LocalProcess(val name: String, private val process: Process, val log: File) {
    val pid: Long get() = process.pid()

    val isAlive: Boolean get() = process.isAlive

    /** Ends the process at once, as a crash would. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Asks for a planned stop. */
    fun terminate() = process.destroy()

    /** Exit code, or null if the process had to be killed after [seconds]. */
    fun await(seconds: Long): Int? {
        if (process.waitFor(seconds, TimeUnit.SECONDS)) return process.exitValue()
        kill()
        return null
    }

    companion object {
        /** Starts [command] with [variables] added to the environment. */
        fun start(
            name: String,
            command: List<String>,
            variables: Map<String, String>,
            log: File
        ): LocalProcess {
            val builder = ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            builder.environment().putAll(variables)
            return LocalProcess(name, builder.start(), log)
        }
    }
}
