/*
 * What a load run sends: a mix of prompt lengths with weights.
 */
package org.gypsumroute.cli.load

import kotlinx.serialization.Serializable

/** A named mix of requests. */
@Serializable
data class LoadProfile(val name: String, val service: String, val mix: List<MixPart>) {
    init {
        require(mix.isNotEmpty()) { "a profile needs at least one part" }
    }

    companion object {
        /** Both deployments of docs/service-document.md; one prompt in fifty is over 100,000. */
        val named: Map<String, LoadProfile> = listOf(
            LoadProfile(
                "menukala",
                "menu-writer",
                listOf(
                    MixPart(weight = 40, shortest = 1_000, longest = 4_000, outputTokens = 64),
                    MixPart(weight = 9, shortest = 4_000, longest = 40_000, outputTokens = 128),
                    MixPart(weight = 1, shortest = 100_001, longest = 300_000, outputTokens = 128)
                )
            ),
            LoadProfile(
                "qalamkhana",
                "reader-models",
                listOf(
                    MixPart(weight = 36, shortest = 1_000, longest = 8_000, outputTokens = 128),
                    MixPart(weight = 13, shortest = 8_000, longest = 90_000, outputTokens = 256),
                    MixPart(weight = 1, shortest = 100_001, longest = 500_000, outputTokens = 256)
                )
            ),
            LoadProfile(
                "short",
                "menu-writer",
                listOf(MixPart(weight = 1, shortest = 1_000, longest = 4_000, outputTokens = 64))
            )
        ).associateBy { it.name }
    }
}

/** Requests whose prompt length (in tokens) is uniform between the two bounds. */
@Serializable
data class MixPart(val weight: Int, val shortest: Int, val longest: Int, val outputTokens: Int) {
    init {
        require(weight > 0) { "weight must be positive" }
        require(shortest in 1..longest) { "shortest must lie between 1 and longest" }
        require(outputTokens > 0) { "outputTokens must be positive" }
    }
}
