/*
 * Formats a burn report as a table for a terminal.
 */
package org.gypsumroute.cli.burn

import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.cli.textTable

internal fun describeBurn(report: BurnReport): String = buildList {
    add("burn rates from ${report.entries.size} entries; 1 uses up the error budget exactly")
    for ((entry, cause) in report.unreachable) add("not included: $entry: $cause")
    if (report.objectives.isEmpty()) {
        add("no requests measured")
    } else {
        val windows = windowsOf(report)
        val heading = listOf("service", "class", "organisation", "data centre", "objective") +
            windows.map { "${windowName(it)} rate (bad/all)" } + "alert"
        addAll(textTable(heading, report.objectives.map { rowCells(it, windows) }))
    }
}.joinToString("\n")

private fun rowCells(objective: BurnObjective, windows: List<Long>): List<String> =
    objectiveLabels(objective) + "%.4f".format(objective.objectiveShare) +
        windows.map { seconds ->
            objective.windows.find { it.windowSeconds == seconds }?.let(::countsText) ?: "-"
        } + BurnAlert.of(objective.windows).text

internal fun objectiveLabels(objective: BurnObjective): List<String> = listOf(
    objective.service,
    objective.lengthClass ?: "-",
    objective.organisation ?: "-",
    objective.dataCentre ?: "-"
)

internal fun countsText(counts: BurnCounts): String =
    "%.2f (%d/%d)".format(counts.burnRate, counts.bad, counts.good + counts.bad)

/** Lengths of all windows in the report in seconds, shortest first. */
internal fun windowsOf(report: BurnReport): List<Long> =
    report.objectives.flatMap { it.windows }.map { it.windowSeconds }.distinct().sorted()

internal fun windowName(seconds: Long): String = seconds.seconds.toString()
