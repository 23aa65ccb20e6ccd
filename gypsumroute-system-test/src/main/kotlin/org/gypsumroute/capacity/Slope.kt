package org.gypsumroute.capacity

/** A value measured at one size. */
internal data class Sample(val size: Int, val value: Double)

/** A cost as a linear function of size: [intercept] at size 0, plus [slope] per unit. */
internal data class FittedLine(val intercept: Double, val slope: Double)

/** Fits a line to the samples by least squares. */
internal fun fitLine(samples: List<Sample>): FittedLine {
    require(samples.size > 1) { "a slope needs two sizes or more" }
    val meanSize = samples.map { it.size }.average()
    val meanValue = samples.map { it.value }.average()
    val covariance = samples.sumOf { (it.size - meanSize) * (it.value - meanValue) }
    val variance = samples.sumOf { (it.size - meanSize) * (it.size - meanSize) }
    val slope = covariance / variance
    return FittedLine(meanValue - slope * meanSize, slope)
}
