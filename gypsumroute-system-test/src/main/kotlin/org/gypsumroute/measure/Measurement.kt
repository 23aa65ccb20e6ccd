/*
 * What a measurement yields, before it is written as Markdown and SVG.
 */
package org.gypsumroute.measure

/** Result of one row of the design page's table. [limit] is the goal as a largest value. */
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

/** A goal in numbers: met if [value] is at most [limit]. */
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
            value.isFinite() -> "missed by ${number(value - limit)}${unit.prefixed()}"
            else -> "missed, never reached"
        }
}

/** One measured figure beside its baseline of the same run; a baseline may be absent. */
internal data class Figure(
    val name: String,
    val value: Double,
    val baseline: Double?,
    val unit: String
)

internal fun String.prefixed(): String = if (isEmpty()) "" else " $this"

/** Rounded to what the figure's size makes worth reading. */
internal fun number(value: Double): String = when {
    !value.isFinite() -> "none"
    value == Math.rint(value) && value < 1e9 -> "%.0f".format(value)
    Math.abs(value) >= 100 -> "%.0f".format(value)
    Math.abs(value) >= 10 -> "%.1f".format(value)
    else -> "%.2f".format(value)
}
