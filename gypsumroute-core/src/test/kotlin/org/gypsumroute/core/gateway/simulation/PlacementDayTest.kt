package org.gypsumroute.core.gateway.simulation

import kotlin.test.Test
import kotlin.test.assertTrue
import org.gypsumroute.core.gateway.ForwardPlacement
import org.gypsumroute.core.gateway.ForwardPlacements

class PlacementDayTest {
    private val seeds = 1L..8L

    private fun play(placement: ForwardPlacement, phases: List<Phase>): List<SimulatedDay> =
        seeds.map { seed ->
            SimulatedDay(Deployment(), SampleDay.kinds, phases, placement, seed).also { it.run() }
        }

    private fun List<SimulatedDay>.shareOf(kind: String): Double =
        sumOf { it.results.getValue(kind).earned } / sumOf { it.results.getValue(kind).owed }

    /** Guards against a placement that serves one length at the cost of another. */
    @Test
    fun `predicted loss serves more of every length than counting requests`() {
        val byLoss = play(ForwardPlacements.leastPredictedLoss, SampleDay.phases)
        val byCount = play(ForwardPlacements.leastUtilised, SampleDay.phases)
        for (kind in SampleDay.kinds) {
            val share = byLoss.shareOf(kind.name)
            val baseline = byCount.shareOf(kind.name)
            assertTrue(share > baseline, "${kind.name}: $share against $baseline")
        }
    }

    /** Short prompts must not wait behind long ones while there are engines for both. */
    @Test
    fun `on a calm day nearly all short prompts are in time`() {
        val calm = listOf(Phase(20_000.0, emptyMap()))
        val share = play(ForwardPlacements.leastPredictedLoss, calm).shareOf("short")
        assertTrue(share > 0.95, "$share")
    }
}
