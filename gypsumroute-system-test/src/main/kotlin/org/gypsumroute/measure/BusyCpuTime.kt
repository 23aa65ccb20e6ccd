/*
 * Size and load of the machine and memory of a process, read from /proc.
 */
package org.gypsumroute.measure

import java.io.File
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** CPU time that all cores together were not idle, in ticks of 10 ms, with the time of reading. */
internal class BusyCpuTime private constructor(
    private val ticks: Long,
    private val readAt: TimeSource.Monotonic.ValueTimeMark
) {
    /** Average number of busy cores between [earlier] and this reading. */
    fun coresSince(earlier: BusyCpuTime): Double {
        val elapsed: Duration = readAt - earlier.readAt
        return (ticks - earlier.ticks) / 100.0 / elapsed.toDouble(DurationUnit.SECONDS)
    }

    companion object {
        fun read(): BusyCpuTime {
            val fields = File("/proc/stat").useLines { it.first() }.split(Regex(" +")).drop(1)
                .map { it.toLong() }
            val idle = fields[IDLE_FIELD] + fields[IOWAIT_FIELD]
            return BusyCpuTime(
                fields.take(COUNTED_FIELDS).sum() - idle,
                TimeSource.Monotonic.markNow()
            )
        }

        private const val IDLE_FIELD = 3
        private const val IOWAIT_FIELD = 4

        // Only the first 8 fields count: the later ones (guest time) are part of the first two.
        private const val COUNTED_FIELDS = 8
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
