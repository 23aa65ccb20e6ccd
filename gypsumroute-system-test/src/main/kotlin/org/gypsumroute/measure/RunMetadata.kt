/*
 * Renders the Markdown page with the results of a run.
 */
package org.gypsumroute.measure

/** Circumstances of a run that the page names, so that its figures can be reproduced. */
internal class RunMetadata(
    val command: String,
    val seed: Long,
    val machine: String,
    val startedAt: String,
    val loadAtStart: String,
    val minutes: Double
)

internal fun renderReport(metadata: RunMetadata, results: List<Measurement>): String = buildString {
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
    appendLine("- command: `${metadata.command}`")
    appendLine("- seed: ${metadata.seed}")
    appendLine("- machine: ${metadata.machine}")
    appendLine("- started ${metadata.startedAt}, took ${"%.1f".format(metadata.minutes)} minutes")
    appendLine("- load before the run: ${metadata.loadAtStart}")
    appendLine()
    appendSummary(results)
    for (result in results) appendMeasurement(result)
}

private fun StringBuilder.appendSummary(results: List<Measurement>) {
    appendLine("| measure | goal | value | limit | verdict |")
    appendLine("| --- | --- | --- | --- | --- |")
    for (result in results) {
        for (check in result.checks) {
            val unit = check.unit.asSuffix()
            appendLine(
                "| ${result.title} | ${check.name} | ${formatNumber(check.value)}$unit | " +
                    "${formatNumber(check.limit)}$unit | ${check.verdict} |"
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
        val unit = figure.unit.asSuffix()
        val baseline = figure.baseline?.let { formatNumber(it) + unit } ?: "-"
        appendLine("| ${figure.name} | ${formatNumber(figure.value)}$unit | $baseline |")
    }
    appendLine()
    for (note in result.notes) appendLine("- $note")
    appendLine("- Busy cores of the machine on average: ${formatNumber(result.busyCores)}.")
    appendLine()
    for (plot in result.plots) appendLine("![${plot.title}](plots/${plot.name}.svg)")
    appendLine()
}
