/*
 * Estimates of the time that a warm engine takes to prefill a prompt.
 */
package org.gypsumroute.core

import kotlin.time.Duration.Companion.seconds

/** Prefill time in proportion to the number of tokens, at the document's warm prefill speed. */
val estimateAtWarmSpeed: PrefillEstimate = { tokens, rule ->
    (tokens.count.toDouble() / maxOf(rule.warmPrefillTokensPerSecond, 1)).seconds
}
