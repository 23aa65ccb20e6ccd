package org.gypsumroute.core.engine

import kotlin.time.Duration

/**
 * How far the endpoint has warmed up. [share] is the share of its capacity on offer (0 to 1), null
 * before the first completion. [completions] is the number of completions at this share, and
 * [warmTime] the time that a warm engine needs to prefill their prompts.
 */
data class Warmth(
    val share: Double? = null,
    val completions: Int = 0,
    val warmTime: Duration = Duration.ZERO
)
