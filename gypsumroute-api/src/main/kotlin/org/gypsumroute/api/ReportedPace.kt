package org.gypsumroute.api

/**
 * Answers of the start [startedAt] of an endpoint took [ratio] times as long as expected, on the
 * average of [weight] recent ones.
 */
data class ReportedPace(
    val endpoint: EndpointId,
    val startedAt: UnixTime?,
    val ratio: Double,
    val weight: Double
)
