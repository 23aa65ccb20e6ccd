package org.gypsumroute.cli.load

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Plans an open-loop run. The intervals between arrivals are exponentially distributed and do not
 * depend on the responses, so that a slow system gets the same load as a fast one. The same seed
 * yields the same plan.
 */
fun planArrivals(
    profile: LoadProfile,
    requestsPerSecond: Double,
    duration: Duration,
    seed: Long
): List<PlannedRequest> {
    require(requestsPerSecond > 0) { "the rate must be positive" }
    val random = Random(seed)
    val plan = mutableListOf<PlannedRequest>()
    var offset = Duration.ZERO
    while (true) {
        val intervalSeconds = -ln(1 - random.nextDouble()) / requestsPerSecond
        offset += (intervalSeconds * NANOSECONDS_PER_SECOND).toLong().nanoseconds
        if (offset >= duration) return plan
        val part = choosePart(profile, random)
        val tokens = random.nextInt(part.shortest, part.longest + 1)
        plan += PlannedRequest(plan.size, offset, tokens, part.outputTokens)
    }
}

private fun choosePart(profile: LoadProfile, random: Random): MixPart {
    var remaining = random.nextInt(profile.mix.sumOf { it.weight })
    return profile.mix.first { part ->
        remaining -= part.weight
        remaining < 0
    }
}

private const val NANOSECONDS_PER_SECOND = 1e9
