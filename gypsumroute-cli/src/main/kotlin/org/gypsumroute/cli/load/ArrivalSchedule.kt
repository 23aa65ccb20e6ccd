package org.gypsumroute.cli.load

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Plans an open-loop run: exponential gaps between arrivals, independent of the answers, so that
 * a slow system meets the same load as a fast one. The same seed yields the same plan.
 */
fun planArrivals(
    profile: LoadProfile,
    requestsPerSecond: Double,
    duration: Duration,
    seed: Long
): List<PlannedRequest> {
    require(requestsPerSecond > 0) { "the rate must be positive" }
    val random = Random(seed)
    val planned = mutableListOf<PlannedRequest>()
    var at = Duration.ZERO
    while (true) {
        val gapSeconds = -ln(1 - random.nextDouble()) / requestsPerSecond
        at += (gapSeconds * NANOSECONDS_PER_SECOND).toLong().nanoseconds
        if (at >= duration) return planned
        val part = choosePart(profile, random)
        val tokens = random.nextInt(part.shortest, part.longest + 1)
        planned += PlannedRequest(planned.size, at, tokens, part.outputTokens)
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
