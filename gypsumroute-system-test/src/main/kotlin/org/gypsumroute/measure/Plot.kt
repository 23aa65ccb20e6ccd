/*
 * Renders bar and line charts as SVG.
 */
package org.gypsumroute.measure

import java.util.Locale
import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.log10
import kotlin.math.pow

/** A chart, written to `plots/<name>.svg` in the output folder. */
internal sealed interface Plot {
    val name: String
    val title: String
    val unit: String

    /** A bar chart with a group of bars for each label and one bar of each series per group. */
    data class Bars(
        override val name: String,
        override val title: String,
        override val unit: String,
        val labels: List<String>,
        val series: Map<String, List<Double>>
    ) : Plot

    /** A line chart of (x, y) points; [marks] are vertical lines with labels. */
    data class Lines(
        override val name: String,
        override val title: String,
        override val unit: String,
        val xTitle: String,
        val series: Map<String, List<Pair<Double, Double>>>,
        val marks: Map<String, Double> = emptyMap()
    ) : Plot
}

internal fun renderSvg(plot: Plot): String {
    val body = when (plot) {
        is Plot.Bars -> renderBars(plot)
        is Plot.Lines -> renderLines(plot)
    }
    val names = when (plot) {
        is Plot.Bars -> plot.series.keys
        is Plot.Lines -> plot.series.keys
    }
    val legend = names.mapIndexed { index, name ->
        val x = LEFT_MARGIN + index * LEGEND_ENTRY_WIDTH
        """<rect x="$x" y="34" width="12" height="12" fill="${colour(index)}"/>""" +
            textAt(x + 18, 44, name)
    }
    return (
        listOf(
            """<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 $WIDTH $HEIGHT" """ +
                """font-family="sans-serif" font-size="12">""",
            """<rect width="$WIDTH" height="$HEIGHT" fill="white"/>""",
            textAt(LEFT_MARGIN, 22, "${plot.title} (${plot.unit})")
        ) + legend + body + "</svg>\n"
        ).joinToString("\n")
}

private fun renderBars(plot: Plot.Bars): List<String> {
    val axisMax = axisMaximum(plot.series.values.flatten())
    val groupWidth = (WIDTH - LEFT_MARGIN - RIGHT_MARGIN) / plot.labels.size
    val barWidth = groupWidth * 0.8 / plot.series.size
    val bars = plot.series.values.flatMapIndexed { index, values ->
        values.mapIndexed { labelIndex, value ->
            val x = LEFT_MARGIN + labelIndex * groupWidth + groupWidth * 0.1 + index * barWidth
            val y = yOf(value, axisMax)
            """<rect x="${coord(x)}" y="${coord(y)}" width="${coord(barWidth * 0.92)}" """ +
                """height="${coord(PLOT_BOTTOM - y)}" fill="${colour(index)}"/>""" +
                textAt(x + barWidth * 0.46, y - 4, formatNumber(value), "middle")
        }
    }
    val labels = plot.labels.mapIndexed { labelIndex, label ->
        textAt(LEFT_MARGIN + (labelIndex + 0.5) * groupWidth, PLOT_BOTTOM + 18, label, "middle")
    }
    return axis(axisMax) + bars + labels
}

private fun renderLines(plot: Plot.Lines): List<String> {
    val points = plot.series.values.flatten()
    val axisMax = axisMaximum(points.map { it.second })
    val xMax = axisMaximum(points.map { it.first } + plot.marks.values)
    fun xOf(value: Double) = LEFT_MARGIN + value / xMax * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN)
    val lines = plot.series.values.mapIndexed { index, series ->
        val path = series.joinToString(" ") { (x, y) ->
            "${coord(xOf(x))},${coord(yOf(y, axisMax))}"
        }
        """<polyline points="$path" fill="none" stroke="${colour(index)}" stroke-width="2"/>"""
    }
    val marks = plot.marks.map { (name, at) ->
        val x = coord(xOf(at))
        """<line x1="$x" x2="$x" y1="$PLOT_TOP" y2="$PLOT_BOTTOM" stroke="#888" """ +
            """stroke-dasharray="4"/>""" + textAt(xOf(at) + 4, PLOT_TOP + 10.0, name)
    }
    val ticks = (0..TICK_COUNT).map {
        textAt(
            xOf(xMax * it / TICK_COUNT),
            PLOT_BOTTOM + 18,
            formatNumber(xMax * it / TICK_COUNT),
            "middle"
        )
    }
    val title = textAt((LEFT_MARGIN + WIDTH) / 2, PLOT_BOTTOM + 36, plot.xTitle, "middle")
    return axis(axisMax) + lines + marks + ticks + title
}

private fun axis(axisMax: Double): List<String> = (0..TICK_COUNT).map {
    val value = axisMax * it / TICK_COUNT
    val y = yOf(value, axisMax)
    """<line x1="$LEFT_MARGIN" x2="${WIDTH - RIGHT_MARGIN}" y1="${coord(y)}" y2="${coord(y)}" """ +
        """stroke="#ddd"/>""" + textAt(LEFT_MARGIN - 6, y + 4, formatNumber(value), "end")
}

/** The smallest of 1, 2, 4, 6, 8 or 10 times a power of ten that is not below any finite value. */
internal fun axisMaximum(values: List<Double>): Double {
    val largest = values.filter { it.isFinite() }.maxOrNull()?.takeIf { it > 0 } ?: return 1.0
    val power = 10.0.pow(floor(log10(largest)))
    val leadingFactor = ceil(largest / power * (1 - 1e-9))
    return power * if (leadingFactor <= 2) leadingFactor else ceil(leadingFactor / 2) * 2
}

private fun yOf(value: Double, axisMax: Double): Double =
    if (value.isFinite()) PLOT_BOTTOM - value / axisMax * (PLOT_BOTTOM - PLOT_TOP) else PLOT_BOTTOM

private fun textAt(x: Double, y: Double, content: String, anchor: String = "start"): String =
    """<text x="${coord(x)}" y="${coord(y)}" text-anchor="$anchor">${escapeXml(content)}</text>"""

private fun textAt(x: Double, y: Int, content: String) = textAt(x, y.toDouble(), content)

private fun escapeXml(content: String): String =
    content.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")

/** Formats a coordinate for SVG, with one decimal whatever the locale. */
private fun coord(value: Double): String = "%.1f".format(Locale.ROOT, value)

private fun colour(index: Int): String = COLOURS[index % COLOURS.size]

private val COLOURS = listOf("#1f6fb4", "#d9822b", "#3a923a", "#8c5aa8")
private const val WIDTH = 720.0
private const val HEIGHT = 360.0
private const val LEFT_MARGIN = 70.0
private const val RIGHT_MARGIN = 20.0
private const val PLOT_TOP = 64.0
private const val PLOT_BOTTOM = 310.0
private const val LEGEND_ENTRY_WIDTH = 210
private const val TICK_COUNT = 4
