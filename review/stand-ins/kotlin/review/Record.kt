/*
 * The record of a case: what was sent, run and answered, with the time since the start.
 */
package review

import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import kotlin.io.path.bufferedWriter

/** Writes lines to [file] and counts the runs of each request. */
class Record(file: Path) : AutoCloseable {
    private val writer = file.bufferedWriter()
    private val startedAt = System.nanoTime()

    /** Names of the runners that began to work on a request, by the request's id. */
    val runs = ConcurrentHashMap<String, List<String>>()

    @Synchronized
    fun line(text: String) {
        val milliseconds = (System.nanoTime() - startedAt) / NANOSECONDS_PER_MILLISECOND
        writer.write("%8d ms  %s%n".format(milliseconds, text))
        writer.flush()
    }

    /** Notes that [runner] began to work on the request [id]. */
    fun ran(id: String, runner: String) {
        runs.merge(id, listOf(runner)) { before, added -> before + added }
        line("runner $runner runs $id")
    }

    override fun close() = writer.close()

    private companion object {
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000
    }
}

/** Time since a moment of [System.nanoTime]. */
fun millisecondsSince(nanoseconds: Long): Long = (System.nanoTime() - nanoseconds) / 1_000_000
