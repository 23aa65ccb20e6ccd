/*
 * Estimates of the time that a warm engine takes to prefill a prompt.
 */
package org.gypsumroute.core.admission

import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.core.PrefillEstimate

/** Prefill time in proportion to the number of tokens, at the document's warm prefill speed. */
val estimateAtWarmSpeed: PrefillEstimate = { tokens, rule ->
    (tokens.count.toDouble() / maxOf(rule.warmPrefillTokensPerSecond, 1)).seconds
}
