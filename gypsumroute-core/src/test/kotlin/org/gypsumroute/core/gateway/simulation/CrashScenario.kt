package org.gypsumroute.core.gateway.simulation

import kotlin.time.Duration
import org.gypsumroute.api.PromptPartId

/**
 * What a simulation is about; rates are per second over all gateways. Each organisation has a part
 * that begins all its prompts, and its share of sound requests.
 */
internal data class CrashScenario(
    val gateways: Int,
    val endpoints: Int,
    val soundPerSecond: Double,
    val crashing: List<CrashingRequests>,
    val duration: Duration,
    val lostDatagrams: Double,
    val organisations: Int = 20
)

/**
 * Requests with a part that crashes endpoints. They come from [begin] on, from any of the
 * [organisations], or from all of them if it is null.
 */
internal data class CrashingRequests(
    val perSecond: Double,
    val part: PromptPartId = PromptPartId(0xbad),
    val begin: Duration = Duration.ZERO,
    val organisations: List<Int>? = null
)
