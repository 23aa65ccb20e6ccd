package org.gypsumroute.api

import kotlin.time.Duration

/** What an agent tells entries about its endpoint; a hint, never a promise. */
data class EndpointSummary(
    val engineMemory: Tokens,
    val freeMemory: Tokens,
    val warmShare: Double,
    val runningStreams: Int,
    val queued: Int,
    val expectedWait: Duration,
    val accepting: Boolean
)
