package org.gypsumroute.cli.load

import kotlin.time.Duration

/** A request of a load run; [arrivalOffset] is its time of sending after the start of the run. */
data class PlannedRequest(
    val number: Int,
    val arrivalOffset: Duration,
    val promptTokens: Int,
    val outputTokens: Int
)
