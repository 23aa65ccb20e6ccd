/*
 * How long a warm engine takes to prefill a prompt.
 */
package org.gypsumroute.core

import kotlin.time.Duration.Companion.seconds

/** Time in proportion to the number of tokens, at the document's warm speed. */
val estimateAtWarmSpeed: PrefillEstimate = { tokens, rule ->
    (tokens.count.toDouble() / maxOf(rule.warmPrefillTokensPerSecond, 1)).seconds
}
