/*
 * Size and load of the machine, read from /proc.
 */
package org.gypsumroute.measure

import java.io.File
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Processor time that all cores together spent working, in hundredths of a second. */
internal class BusyTime private constructor(
    private val ticks: Long,
    private val at: TimeSource.Monotonic.ValueTimeMark
) {
    /** Average number of busy cores since [earlier]. */
    fun coresSince(earlier: BusyTime): Double {
        val elapsed: Duration = at - earlier.at
        return (ticks - earlier.ticks) / 100.0 / elapsed.toDouble(DurationUnit.SECONDS)
    }

    companion object {
        fun read(): BusyTime {
            val fields = File("/proc/stat").useLines { it.first() }.split(Regex(" +")).drop(1)
                .map { it.toLong() }
            val idle = fields[IDLE] + fields[WAITING]
            return BusyTime(fields.take(COUNTED).sum() - idle, TimeSource.Monotonic.markNow())
        }

        private const val IDLE = 3
        private const val WAITING = 4

        // The later fields are contained in the first two.
        private const val COUNTED = 8
    }
}

internal fun loadAverage(): String =
    "load average " + File("/proc/loadavg").readText().split(' ').take(3).joinToString()

internal fun machineSize(): String {
    val kilobytes = File("/proc/meminfo").useLines { it.first() }.filter { it.isDigit() }.toLong()
    return "${Runtime.getRuntime().availableProcessors()} cores, ${kilobytes / (1024 * 1024)} GB"
}

/** Resident memory of a process in bytes. */
internal fun residentBytes(pid: Long): Long =
    File("/proc/$pid/status").useLines { lines -> lines.first { it.startsWith("VmRSS") } }
        .filter { it.isDigit() }.toLong() * 1024
