package org.gypsumroute.test

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sizes and behaviour of the engine stand-in. Token counts are UTF-8 bytes / 4, rounded up. */
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
    val fencing: Boolean = true
)
