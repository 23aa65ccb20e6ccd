package org.gypsumroute.core

import kotlin.time.Duration

/**
 * How warm the endpoint is. [share] is the share of its capacity on offer (0 to 1), null before
 * the first completion; [completions] counts those at this share, and [work] is the time that a
 * warm engine needs for their prompts.
 */
data class Warmth(
    val share: Double? = null,
    val completions: Int = 0,
    val warmTime: Duration = Duration.ZERO
)
