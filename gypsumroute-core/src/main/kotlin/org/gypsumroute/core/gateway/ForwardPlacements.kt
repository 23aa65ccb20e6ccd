/*
 * Placements of forwarded requests.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import org.gypsumroute.core.stableHash

/** Placement functions for [GatewayPolicies.placement]. */
object ForwardPlacements {
    /** By predicted loss at engines, and by open requests at plain services. */
    val leastLoss: ForwardPlacement = leastLossAt(PlacementCosts())

    /** The same with other costs. */
    fun leastLossAt(costs: PlacementCosts): ForwardPlacement = { question ->
        question.figures?.let { placeAtEngines(question, it, costs) } ?: leastOpenOrNone(question)
    }

    /**
     * The endpoint with the smallest share of its slots in use, where one that failed lately counts
     * as fuller; its own data centre first.
     */
    val leastOpen: ForwardPlacement = { question ->
        question.candidates.minByOrNull { candidate ->
            val record = candidate.record
            val away = if (record.dataCentre == question.ownDataCentre) 0.0 else AWAY
            val tie = Math.floorMod(stableHash(record.id.value) xor question.entropy, TIES)
            (candidate.load.openRequests + tie * TIE_WEIGHT) / record.slots.coerceAtLeast(
                1
            ) + away +
                candidate.failureShare * FAILURE_WEIGHT
        }?.let { ForwardChoice(it.record.id, emptyList(), Duration.ZERO, Duration.ZERO) }
    }

    private fun leastOpenOrNone(question: ForwardQuestion): ForwardChoice? =
        if (question.figures == null) leastOpen(question) else null

    /** Share of slots that a call to another data centre is worth. */
    private const val AWAY = 0.1

    /** Share of slots that an endpoint which fails always counts as fuller. */
    private const val FAILURE_WEIGHT = 3.0
    private const val TIES = 1024L
    private const val TIE_WEIGHT = 0.5 / TIES
}
