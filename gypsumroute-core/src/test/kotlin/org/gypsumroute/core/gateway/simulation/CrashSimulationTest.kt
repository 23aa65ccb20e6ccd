package org.gypsumroute.core.gateway.simulation

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.PromptPartId

/**
 * Requests with one part in their prompts crash each endpoint that answers them and come at any
 * gateway. Guards against crashes that go on because each gateway knows only those it saw itself.
 */
class CrashSimulationTest {
    private fun check(scenario: CrashScenario, wait: Duration, seeds: LongRange = SEEDS) {
        for (seed in seeds) {
            val outcome = CrashSimulation(scenario, seed).run()
            for (part in scenario.crashing.map { it.part }) {
                val crashes = outcome.crashesUnder(part).size
                val after = outcome.sentAfterFifthCrash(part, wait)
                assertTrue(crashes >= LEAST_CRASHES, "seed $seed: $crashes crashes under $part")
                assertTrue(after <= MOST_AFTER_FIFTH, "seed $seed: $after sent with $part")
            }
            assertEquals(emptyMap(), outcome.soundBlocked, "seed $seed: sound requests refused")
        }
    }

    private fun onePart(perSecond: Double) = listOf(CrashingRequests(perSecond))

    @Test
    fun `at most three requests reach endpoints after the fifth crash at 3 gateways`() =
        check(CrashScenario(3, 20, 27.0, onePart(2.0), 25.seconds, LOST), Duration.ZERO)

    @Test
    fun `at most three requests reach endpoints after the fifth crash at 33 gateways`() =
        check(CrashScenario(33, 100, 300.0, onePart(2.0), 14.seconds, LOST), Duration.ZERO)

    @Test
    fun `at most three requests reach endpoints after the fifth crash at 330 gateways`() =
        check(CrashScenario(330, 400, 660.0, onePart(2.0), 6.seconds, LOST), Duration.ZERO, 1L..1L)

    @Test
    fun `one request in twenty with the part reaches at most three endpoints after the window`() {
        check(CrashScenario(3, 20, 27.0, onePart(1.4), 25.seconds, LOST), STABILITY_WINDOW)
        check(CrashScenario(33, 100, 300.0, onePart(15.0), 8.seconds, LOST), STABILITY_WINDOW)
        check(
            CrashScenario(330, 400, 660.0, onePart(33.0), 5.seconds, LOST),
            STABILITY_WINDOW,
            1L..1L
        )
    }

    private companion object {
        val SEEDS = 1L..3L
        const val LOST = 0.2
        const val MOST_AFTER_FIFTH = 3

        /** No part is suspect with fewer. */
        const val LEAST_CRASHES = 3
        val STABILITY_WINDOW = 3.seconds
    }
}
