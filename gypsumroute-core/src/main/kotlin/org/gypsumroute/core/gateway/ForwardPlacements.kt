/*
 * Placements of forwarded requests.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import org.gypsumroute.core.stableHash

/** Placement functions for [GatewayPolicies.placement]. */
object ForwardPlacements {
    /** By predicted loss at engines, and by open requests at plain services. */
    val leastPredictedLoss: ForwardPlacement = leastPredictedLossWith(PlacementCosts())

    /** The same with other costs. */
    fun leastPredictedLossWith(costs: PlacementCosts): ForwardPlacement = { input ->
        input.figures?.let { placeAtEngines(input, it, costs) } ?: placeAtPlainService(input)
    }

    /**
     * The endpoint with the smallest share of its slots in use, where one that failed lately counts
     * as fuller; its own data centre first.
     */
    val leastUtilised: ForwardPlacement = { input ->
        input.candidates.minByOrNull { candidate ->
            val record = candidate.record
            val away = if (record.dataCentre == input.ownDataCentre) 0.0 else REMOTE_DATA_CENTRE_PENALTY
            val tie = Math.floorMod(stableHash(record.id.value) xor input.entropy, TIE_BREAK_VALUES)
            (candidate.load.open + tie * TIE_BREAK_WEIGHT) / record.slots.coerceAtLeast(1) + away +
                candidate.failureRate * FAILURE_RATE_PENALTY
        }?.let { ForwardChoice(it.record.id, emptyList(), Duration.ZERO, Duration.ZERO) }
    }

    private fun placeAtPlainService(input: ForwardPlacementInput): ForwardChoice? =
        if (input.figures == null) leastUtilised(input) else null

    /** Share of slots that a call to another data centre is worth. */
    private const val REMOTE_DATA_CENTRE_PENALTY = 0.1

    /** Share of slots that an endpoint which fails always counts as fuller. */
    private const val FAILURE_RATE_PENALTY = 3.0
    private const val TIE_BREAK_VALUES = 1024L
    private const val TIE_BREAK_WEIGHT = 0.5 / TIE_BREAK_VALUES
}
