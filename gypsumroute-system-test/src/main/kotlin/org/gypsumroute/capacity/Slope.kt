package org.gypsumroute.capacity

/** One measured value at one size. */
internal data class Sample(val size: Int, val value: Double)

/** A cost as a line: [base] at size zero, [slope] for each unit of size. */
internal data class Line(val base: Double, val slope: Double)

/** Least squares line through the samples. */
internal fun fitLine(samples: List<Sample>): Line {
    require(samples.size > 1) { "a slope needs two sizes or more" }
    val meanSize = samples.map { it.size }.average()
    val meanValue = samples.map { it.value }.average()
    val covariance = samples.sumOf { (it.size - meanSize) * (it.value - meanValue) }
    val variance = samples.sumOf { (it.size - meanSize) * (it.size - meanSize) }
    val slope = covariance / variance
    return Line(meanValue - slope * meanSize, slope)
}
