package org.gypsumroute.test

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sizes and behaviour of the engine stand-in. A prompt has one token for each 4 bytes of UTF-8,
 * rounded up.
 *
 * The engine is cold for the first [coldTokens] tokens of prefill after a start, a collapse or the
 * loading of a model: prefill is slower by the factor [coldSlowdown], and more than [coldStreams]
 * open streams make the engine collapse. Reports lag by [reportLag]. Cache events become visible
 * after [cacheEventLag], and every [cacheEventLossEvery]th one is lost (0: none). With
 * [enforceFencing], orders with a fencing number below the highest one so far are refused.
 */
data class EngineSettings(
    val memoryTokens: Long = 400_000,
    val prefillTokensPerSecond: Long = 200_000,
    val decodeInterval: Duration = 20.milliseconds,
    val coldTokens: Long = 0,
    val coldSlowdown: Double = 4.0,
    val coldStreams: Int = 2,
    val restartTime: Duration = 1.seconds,
    val loadTime: Duration = 500.milliseconds,
    val reportLag: Duration = Duration.ZERO,
    val cacheBlocks: Int = 4096,
    val cacheEventLag: Duration = 200.milliseconds,
    val cacheEventLossEvery: Int = 0,
    val enforceFencing: Boolean = true
)
