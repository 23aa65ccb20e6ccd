package org.gypsumroute.cli.load

import kotlin.time.Duration
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Results of a load run by prompt length. Durations are in milliseconds. */
@Serializable
internal data class LoadReport(
    val requests: Int,
    val rows: List<LoadRow>,
    val errors: Map<String, Int>
)

/** Results of the requests in one range of prompt lengths; [label] names the range in tokens. */
@Serializable
internal data class LoadRow(
    val label: String,
    val sent: Int,
    val answered: Int,
    val firstToken: Percentiles,
    val betweenTokens: Percentiles,
    val total: Percentiles
)

/** Percentiles in milliseconds; zero if nothing was recorded. */
@Serializable
data class Percentiles(val median: Double, val p95: Double, val p99: Double) {
    companion object {
        fun of(durations: List<Duration>): Percentiles {
            val histogram = Histogram(SIGNIFICANT_DIGITS)
            for (duration in durations) histogram.recordValue(duration.inWholeMicroseconds)
            fun at(percentile: Double) =
                histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
            return Percentiles(at(MEDIAN), at(NINETY_FIFTH), at(NINETY_NINTH))
        }

        private const val SIGNIFICANT_DIGITS = 3
        private const val MICROSECONDS_PER_MILLISECOND = 1_000.0
        private const val MEDIAN = 50.0
        private const val NINETY_FIFTH = 95.0
        private const val NINETY_NINTH = 99.0
    }
}

internal fun summarize(outcomes: List<CallOutcome>): LoadReport {
    val rows = promptLengthBounds.zipWithNext().mapNotNull { (from, until) ->
        val inRange = outcomes.filter { it.promptTokens in from until until }
        if (inRange.isEmpty()) null else rowOf(labelOf(from, until), inRange)
    }
    val errors = outcomes.mapNotNull { it.error }.groupingBy { it }.eachCount()
    return LoadReport(outcomes.size, rows, errors)
}

private fun rowOf(label: String, outcomes: List<CallOutcome>): LoadRow {
    val answered = outcomes.filter { it.error == null }
    return LoadRow(
        label = label,
        sent = outcomes.size,
        answered = answered.size,
        firstToken = Percentiles.of(outcomes.mapNotNull { it.firstToken }),
        betweenTokens = Percentiles.of(outcomes.flatMap { it.gaps }),
        total = Percentiles.of(answered.map { it.total })
    )
}

private fun labelOf(from: Int, until: Int): String =
    if (until == Int.MAX_VALUE) "over ${from - 1}" else "$from to ${until - 1}"

/** Inclusive lower bounds of the ranges; each is the exclusive upper bound of the one before. */
private val promptLengthBounds = listOf(0, 8_001, 100_001, 400_001, Int.MAX_VALUE)
