/*
 * The page with all figures of a run.
 */
package org.gypsumroute.measure

/** Circumstances of a run. */
internal class RunFacts(
    val command: String,
    val seed: Long,
    val machine: String,
    val startedAt: String,
    val loadAtStart: String,
    val minutes: Double
)

internal fun reportOf(facts: RunFacts, results: List<Measurement>): String = buildString {
    appendLine("# Measurements")
    appendLine()
    appendLine(
        "Written by `bin/measure`; edits are lost, except in the last chapter. Each figure " +
            "stands beside its baseline of the same run. Stand-in engines simulate prefill, " +
            "decode, memory and cold starts; all processes run on the loopback interface of one " +
            "machine. Times to first token count from the planned arrival, percentiles come from " +
            "HdrHistogram."
    )
    appendLine()
    appendLine("- command: `${facts.command}`")
    appendLine("- seed: ${facts.seed}")
    appendLine("- machine: ${facts.machine}")
    appendLine("- started ${facts.startedAt}, took ${"%.1f".format(facts.minutes)} minutes")
    appendLine("- load before the run: ${facts.loadAtStart}")
    appendLine()
    appendSummary(results)
    for (result in results) appendMeasurement(result)
}

private fun StringBuilder.appendSummary(results: List<Measurement>) {
    appendLine("| measure | goal | value | limit | verdict |")
    appendLine("| --- | --- | --- | --- | --- |")
    for (result in results) {
        for (check in result.checks) {
            val unit = check.unit.prefixed()
            appendLine(
                "| ${result.title} | ${check.name} | ${number(check.value)}$unit | " +
                    "${number(check.limit)}$unit | ${check.verdict} |"
            )
        }
    }
    appendLine()
}

private fun StringBuilder.appendMeasurement(result: Measurement) {
    appendLine("## ${result.title}")
    appendLine()
    appendLine("Goal: ${result.goal}.")
    appendLine()
    appendLine("| figure | gypsumroute | baseline |")
    appendLine("| --- | --- | --- |")
    for (figure in result.figures) {
        val unit = figure.unit.prefixed()
        val baseline = figure.baseline?.let { number(it) + unit } ?: "-"
        appendLine("| ${figure.name} | ${number(figure.value)}$unit | $baseline |")
    }
    appendLine()
    for (note in result.notes) appendLine("- $note")
    appendLine("- Busy cores of the machine on average: ${number(result.busyCores)}.")
    appendLine()
    for (plot in result.plots) appendLine("![${plot.title}](plots/${plot.name}.svg)")
    appendLine()
}
