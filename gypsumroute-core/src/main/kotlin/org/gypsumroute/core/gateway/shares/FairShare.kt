/*
 * Max-min fair shares with equal weights.
 */
package org.gypsumroute.core.gateway.shares

import kotlin.time.Duration

/**
 * The largest share of [capacity] that anyone gets if it is divided max-min fairly: a smaller
 * demand is met in full, and a larger one gets this share. Infinite if all demands can be met.
 */
internal fun fairShare(demands: Collection<Duration>, capacity: Duration): Duration {
    var remaining = capacity
    demands.sorted().forEachIndexed { index, demand ->
        val equalPart = remaining / (demands.size - index)
        if (demand > equalPart) return equalPart
        remaining -= demand
    }
    return Duration.INFINITE
}
