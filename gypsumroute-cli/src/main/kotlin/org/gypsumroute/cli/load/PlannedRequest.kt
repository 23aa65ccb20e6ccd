package org.gypsumroute.cli.load

import kotlin.time.Duration

/** One request of a load run; [arrivalOffset] counts from the start of the run. */
data class PlannedRequest(
    val number: Int,
    val arrivalOffset: Duration,
    val promptTokens: Int,
    val outputTokens: Int
)
