/*
 * Bar and line charts as SVG text.
 */
package org.gypsumroute.measure

import java.util.Locale
import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.log10
import kotlin.math.pow

/** A chart; its file is `docs/plots/<name>.svg`. */
internal sealed interface Plot {
    val name: String
    val title: String
    val unit: String

    /** One group of bars for each label, one bar in it for each series. */
    data class Bars(
        override val name: String,
        override val title: String,
        override val unit: String,
        val labels: List<String>,
        val series: Map<String, List<Double>>
    ) : Plot

    /** Points (x, y) joined by lines; [marks] are named vertical lines. */
    data class Lines(
        override val name: String,
        override val title: String,
        override val unit: String,
        val xTitle: String,
        val series: Map<String, List<Pair<Double, Double>>>,
        val marks: Map<String, Double> = emptyMap()
    ) : Plot
}

internal fun svgOf(plot: Plot): String {
    val body = when (plot) {
        is Plot.Bars -> barsOf(plot)
        is Plot.Lines -> linesOf(plot)
    }
    val names = when (plot) {
        is Plot.Bars -> plot.series.keys
        is Plot.Lines -> plot.series.keys
    }
    val legend = names.mapIndexed { index, name ->
        val x = LEFT + index * LEGEND_STEP
        """<rect x="$x" y="34" width="12" height="12" fill="${colour(index)}"/>""" +
            text(x + 18, 44, name)
    }
    return (
        listOf(
            """<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 $WIDTH $HEIGHT" """ +
                """font-family="sans-serif" font-size="12">""",
            """<rect width="$WIDTH" height="$HEIGHT" fill="white"/>""",
            text(LEFT, 22, "${plot.title} (${plot.unit})")
        ) + legend + body + "</svg>\n"
        ).joinToString("\n")
}

private fun barsOf(plot: Plot.Bars): List<String> {
    val top = axisTop(plot.series.values.flatten())
    val group = (WIDTH - LEFT - RIGHT) / plot.labels.size
    val bar = group * 0.8 / plot.series.size
    val bars = plot.series.values.flatMapIndexed { index, values ->
        values.mapIndexed { place, value ->
            val x = LEFT + place * group + group * 0.1 + index * bar
            val y = yOf(value, top)
            """<rect x="${point(x)}" y="${point(y)}" width="${point(bar * 0.92)}" """ +
                """height="${point(FLOOR - y)}" fill="${colour(index)}"/>""" +
                text(x + bar * 0.46, y - 4, number(value), "middle")
        }
    }
    val labels = plot.labels.mapIndexed { place, label ->
        text(LEFT + (place + 0.5) * group, FLOOR + 18, label, "middle")
    }
    return axis(top) + bars + labels
}

private fun linesOf(plot: Plot.Lines): List<String> {
    val points = plot.series.values.flatten()
    val top = axisTop(points.map { it.second })
    val right = axisTop(points.map { it.first } + plot.marks.values)
    fun xOf(value: Double) = LEFT + value / right * (WIDTH - LEFT - RIGHT)
    val lines = plot.series.values.mapIndexed { index, series ->
        val path = series.joinToString(" ") { (x, y) -> "${point(xOf(x))},${point(yOf(y, top))}" }
        """<polyline points="$path" fill="none" stroke="${colour(index)}" stroke-width="2"/>"""
    }
    val marks = plot.marks.map { (name, at) ->
        val x = point(xOf(at))
        """<line x1="$x" x2="$x" y1="$CEILING" y2="$FLOOR" stroke="#888" """ +
            """stroke-dasharray="4"/>""" + text(xOf(at) + 4, CEILING + 10.0, name)
    }
    val ticks = (0..TICKS).map {
        text(xOf(right * it / TICKS), FLOOR + 18, number(right * it / TICKS), "middle")
    }
    val title = text((LEFT + WIDTH) / 2, FLOOR + 36, plot.xTitle, "middle")
    return axis(top) + lines + marks + ticks + title
}

private fun axis(top: Double): List<String> = (0..TICKS).map {
    val value = top * it / TICKS
    val y = yOf(value, top)
    """<line x1="$LEFT" x2="${WIDTH - RIGHT}" y1="${point(y)}" y2="${point(y)}" """ +
        """stroke="#ddd"/>""" + text(LEFT - 6, y + 4, number(value), "end")
}

/** The smallest of 1, 2, 4, 6, 8, 10 times a power of ten that no value exceeds. */
internal fun axisTop(values: List<Double>): Double {
    val largest = values.filter { it.isFinite() }.maxOrNull()?.takeIf { it > 0 } ?: return 1.0
    val power = 10.0.pow(floor(log10(largest)))
    val lead = ceil(largest / power * (1 - 1e-9))
    return power * if (lead <= 2) lead else ceil(lead / 2) * 2
}

private fun yOf(value: Double, top: Double): Double =
    if (value.isFinite()) FLOOR - value / top * (FLOOR - CEILING) else FLOOR

private fun text(x: Double, y: Double, content: String, anchor: String = "start"): String =
    """<text x="${point(x)}" y="${point(y)}" text-anchor="$anchor">${escaped(content)}</text>"""

private fun text(x: Double, y: Int, content: String) = text(x, y.toDouble(), content)

private fun escaped(content: String): String =
    content.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")

private fun point(value: Double): String = "%.1f".format(Locale.ROOT, value)

private fun colour(index: Int): String = COLOURS[index % COLOURS.size]

private val COLOURS = listOf("#1f6fb4", "#d9822b", "#3a923a", "#8c5aa8")
private const val WIDTH = 720.0
private const val HEIGHT = 360.0
private const val LEFT = 70.0
private const val RIGHT = 20.0
private const val CEILING = 64.0
private const val FLOOR = 310.0
private const val LEGEND_STEP = 210
private const val TICKS = 4
