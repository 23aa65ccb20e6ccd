/*
 * Results of a measurement, independent of their Markdown and SVG output.
 */
package org.gypsumroute.measure

/**
 * Result of one measurement, which covers one row of the table of goals in docs/design.md.
 * [busyCores] is the machine's average number of busy cores meanwhile.
 */
internal data class Measurement(
    val key: String,
    val title: String,
    val goal: String,
    val checks: List<Check>,
    val figures: List<Figure>,
    val notes: List<String>,
    val plots: List<Plot>,
    val busyCores: Double = 0.0
)

/** A numeric goal, met if [value] is at most [limit]. */
internal data class Check(
    val name: String,
    val value: Double,
    val limit: Double,
    val unit: String = ""
) {
    val isMet: Boolean get() = value <= limit

    val verdict: String
        get() = when {
            isMet -> "met"
            value.isFinite() -> "missed by ${formatNumber(value - limit)}${unit.asSuffix()}"
            else -> "missed, never reached"
        }
}

/** A measured figure and, if there is one, its baseline from the same run. */
internal data class Figure(
    val name: String,
    val value: Double,
    val baseline: Double?,
    val unit: String
)

/** The unit as it follows a number: after a space, or nothing if there is no unit. */
internal fun String.asSuffix(): String = if (isEmpty()) "" else " $this"

/** Formats a figure: whole numbers as they are, others with about three significant digits. */
internal fun formatNumber(value: Double): String = when {
    !value.isFinite() -> "none"
    value == Math.rint(value) && value < 1e9 -> "%.0f".format(value)
    Math.abs(value) >= 100 -> "%.0f".format(value)
    Math.abs(value) >= 10 -> "%.1f".format(value)
    else -> "%.2f".format(value)
}
