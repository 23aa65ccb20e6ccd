/*
 * The record of a run: what was sent, answered and run, with the time in milliseconds.
 */
package standins

import java.io.Closeable
import java.nio.file.Files
import java.nio.file.Path

/** Writes the lines of a run to [path]. */
internal class Record(path: Path) : Closeable {
    private val start = System.nanoTime()
    private val writer = Files.newBufferedWriter(path)

    /** Milliseconds since the start of the run. */
    val now: Long get() = (System.nanoTime() - start) / NANOSECONDS_PER_MS

    @Synchronized
    fun line(text: String) {
        val entry = "%6d ms  %s".format(now, text)
        writer.write(entry)
        writer.newLine()
        writer.flush()
        println(entry)
    }

    override fun close() = writer.close()

    private companion object {
        const val NANOSECONDS_PER_MS = 1_000_000L
    }
}
