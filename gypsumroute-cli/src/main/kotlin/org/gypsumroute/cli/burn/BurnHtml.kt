/*
 * Formats a burn report as one HTML page with charts in SVG, which loads nothing from elsewhere.
 */
package org.gypsumroute.cli.burn

/** Returns the page; [createdAt] is the time of the report as text. */
internal fun burnHtml(report: BurnReport, createdAt: String): String = buildString {
    append("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">")
    append("<title>Burn report</title><style>").append(STYLE).append("</style></head><body>\n")
    append("<h1>Service-level burn report</h1>\n<p>Made at ${escaped(createdAt)} from ")
    append("${report.entries.size} entries: ${escaped(report.entries.joinToString())}.</p>\n")
    for ((entry, cause) in report.unreachable) {
        append("<p class=\"missing\">Not included: ${escaped(entry)}: ${escaped(cause)}</p>\n")
    }
    append("<p>A rate of 1 (the line in the charts) uses up the error budget exactly.</p>\n")
    if (report.objectives.isEmpty()) append("<p>No requests measured.</p>\n")
    val windows = windowsOf(report)
    for ((service, objectives) in report.objectives.groupBy { it.service }) {
        append("<h2>${escaped(service)}</h2>\n")
        appendChart(objectives, windows)
        appendTable(objectives, windows)
    }
    append("</body></html>")
}

private fun StringBuilder.appendTable(objectives: List<BurnObjective>, windows: List<Long>) {
    append("<table><tr><th>class</th><th>organisation</th><th>data centre</th><th>objective</th>")
    for (window in windows) append("<th>${windowName(window)}: rate (bad/all)</th>")
    append("<th>alert</th></tr>\n")
    for (objective in objectives) {
        val alert = BurnAlert.of(objective.windows)
        append("<tr class=\"${alert.name.lowercase()}\">")
        for (cell in objectiveLabels(objective).drop(1)) append("<td>${escaped(cell)}</td>")
        append("<td>%.4f</td>".format(objective.objectiveShare))
        for (window in windows) {
            val counts = objective.windows.find { it.windowSeconds == window }
            append("<td>${counts?.let(::countsText) ?: "-"}</td>")
        }
        append("<td>${alert.text}</td></tr>\n")
    }
    append("</table>\n")
}

private fun StringBuilder.appendChart(objectives: List<BurnObjective>, windows: List<Long>) {
    val highestRate = objectives.flatMap { it.windows }.maxOfOrNull { it.burnRate } ?: 0.0
    val pixelsPerRate = BARS_WIDTH / highestRate.coerceAtLeast(MIN_CHART_RATE)
    val rowHeight = windows.size * BAR_HEIGHT + ROW_GAP
    val height = objectives.size * rowHeight + LEGEND_HEIGHT
    append("<svg role=\"img\" aria-label=\"burn rates\" width=\"$CHART_WIDTH\" ")
    append("height=\"$height\">\n")
    windows.forEachIndexed { index, window ->
        val x = LABEL_WIDTH + index * LEGEND_STEP
        append("<rect class=\"w$index\" x=\"$x\" y=\"2\" width=\"10\" height=\"10\"/>")
        append("<text x=\"${x + BAR_HEIGHT * 2}\" y=\"11\">${windowName(window)}</text>\n")
    }
    objectives.forEachIndexed { row, objective ->
        val top = LEGEND_HEIGHT + row * rowHeight
        val label = objectiveLabels(objective).drop(1).joinToString(" / ")
        append("<text x=\"0\" y=\"${top + BAR_HEIGHT * 2}\">${escaped(label)}</text>")
        objective.windows.forEach { counts ->
            val index = windows.indexOf(counts.windowSeconds)
            val width = counts.burnRate * pixelsPerRate
            val y = top + index * BAR_HEIGHT
            append("<rect class=\"w$index\" x=\"$LABEL_WIDTH\" y=\"$y\" height=\"$BAR_HEIGHT\" ")
            append("width=\"%.1f\"><title>".format(width.coerceAtLeast(1.0)))
            append("${windowName(counts.windowSeconds)}: ${countsText(counts)}</title></rect>\n")
        }
    }
    val budgetX = "%.1f".format(LABEL_WIDTH + pixelsPerRate)
    append("<line x1=\"$budgetX\" y1=\"$LEGEND_HEIGHT\" x2=\"$budgetX\" y2=\"$height\"/></svg>\n")
}

/** Escapes [text] for HTML content and quoted attributes. */
internal fun escaped(text: String): String = text
    .replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;")

private const val CHART_WIDTH = 900
private const val LABEL_WIDTH = 320
private const val BARS_WIDTH = 560.0
private const val BAR_HEIGHT = 8
private const val ROW_GAP = 8
private const val LEGEND_HEIGHT = 22
private const val LEGEND_STEP = 90

/** The charts extend to at least this burn rate. */
private const val MIN_CHART_RATE = 2.0
private const val STYLE = "body{font:14px sans-serif;margin:2em;color:#222;background:#fff}" +
    "table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:3px 8px;" +
    "text-align:left}.missing,.fast td{background:#fdd}.slow td{background:#fec}" +
    "svg text{font-size:11px}.w0{fill:#c0392b}.w1{fill:#e08e45}.w2{fill:#3a6ea5}" +
    "line{stroke:#222;stroke-dasharray:4 3}"
