package org.gypsumroute.core.gateway.simulation

import kotlin.test.Test
import kotlin.test.assertTrue
import org.gypsumroute.core.gateway.placement.ForwardPlacement
import org.gypsumroute.core.gateway.placement.ForwardPlacements

class PlacementSimulationTest {
    private val seeds = 1L..8L

    private fun simulate(
        placement: ForwardPlacement,
        phases: List<LoadPhase>
    ): List<GatewaySimulation> = seeds.map { seed ->
        GatewaySimulation(Deployment(), SampleLoad.kinds, phases, placement, seed).also {
            it.run()
        }
    }

    private fun List<GatewaySimulation>.shareOf(kind: String): Double =
        sumOf { it.results.getValue(kind).earnedValue } /
            sumOf { it.results.getValue(kind).offeredValue }

    /** Guards against a placement that serves prompts of one length at the cost of another. */
    @Test
    fun `placement by predicted loss earns more for every length than by utilisation`() {
        val byLoss = simulate(ForwardPlacements.leastPredictedLoss, SampleLoad.phases)
        val byUtilisation = simulate(ForwardPlacements.leastUtilised, SampleLoad.phases)
        for (kind in SampleLoad.kinds) {
            val share = byLoss.shareOf(kind.name)
            val baseline = byUtilisation.shareOf(kind.name)
            assertTrue(share > baseline, "${kind.name}: $share against $baseline")
        }
    }

    /** Guards against short prompts that wait behind long ones while there are engines for both. */
    @Test
    fun `nearly all short prompts are in time at normal load`() {
        val normalLoad = listOf(LoadPhase(20_000.0, emptyMap()))
        val share = simulate(ForwardPlacements.leastPredictedLoss, normalLoad).shareOf("short")
        assertTrue(share > 0.95, "$share")
    }
}
