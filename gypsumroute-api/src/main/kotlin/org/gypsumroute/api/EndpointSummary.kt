package org.gypsumroute.api

import kotlin.time.Duration

/**
 * Load of an endpoint as its agent reports it to entries. It may be outdated: only a grant reserves
 * capacity.
 *
 * [warmShare] is the share of its capacity (0 to 1) that the endpoint offers; it is below 1 while
 * the endpoint is cold. [expectedWait] is the estimated time in the queue for new work.
 */
data class EndpointSummary(
    val engineMemory: Tokens,
    val freeMemory: Tokens,
    val warmShare: Double,
    val runningStreams: Int,
    val queued: Int,
    val expectedWait: Duration,
    val accepting: Boolean
)
