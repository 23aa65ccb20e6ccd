/*
 * Profiles of load runs, which mix prompt lengths by weight.
 */
package org.gypsumroute.cli.load

import kotlinx.serialization.Serializable

/** A mix of requests to one service. */
@Serializable
data class LoadProfile(val name: String, val service: String, val mix: List<MixPart>) {
    init {
        require(mix.isNotEmpty()) { "a profile needs at least one part" }
    }

    companion object {
        /**
         * The two deployments in docs/service-document.md, where one prompt in fifty is longer than
         * 100,000 tokens, and a profile of short prompts only.
         */
        val builtIn: Map<String, LoadProfile> = listOf(
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

/**
 * Requests whose prompt length in tokens is uniformly distributed from [shortest] to [longest].
 * [weight] is their share of the requests relative to the other parts of the mix.
 */
@Serializable
data class MixPart(val weight: Int, val shortest: Int, val longest: Int, val outputTokens: Int) {
    init {
        require(weight > 0) { "weight must be positive" }
        require(shortest in 1..longest) { "shortest must lie between 1 and longest" }
        require(outputTokens > 0) { "outputTokens must be positive" }
    }
}
