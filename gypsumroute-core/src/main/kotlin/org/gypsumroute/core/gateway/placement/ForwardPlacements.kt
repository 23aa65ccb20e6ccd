/*
 * Placements of forwarded requests.
 */
package org.gypsumroute.core.gateway.placement

import kotlin.time.Duration
import org.gypsumroute.core.gateway.endpoints.AS_EXPECTED
import org.gypsumroute.core.stableHash

/** Placement functions for [GatewayPolicies.placement]. */
object ForwardPlacements {
    /** Lowest predicted loss on engines, and lowest utilisation on plain services. */
    val leastPredictedLoss: ForwardPlacement = leastPredictedLossWith(PlacementCosts())

    /** The same as [leastPredictedLoss] with other costs. */
    fun leastPredictedLossWith(costs: PlacementCosts): ForwardPlacement = { input ->
        input.profile?.let { placeAtEngines(input, it, costs) } ?: placeAtPlainService(input)
    }

    /**
     * Chooses the endpoint with the smallest share of its slots in use, multiplied by its pace.
     * Recent failures, a slow pace and another data centre than the gateway's own count as
     * additional utilisation. A tie-break that differs by endpoint and request counts for less than
     * half an open request.
     */
    val leastUtilised: ForwardPlacement = { input ->
        input.candidates.minByOrNull { candidate ->
            val record = candidate.record
            val local = record.dataCentre == input.ownDataCentre
            val distance = if (local) 0.0 else REMOTE_DATA_CENTRE_PENALTY
            val tieBreak =
                Math.floorMod(stableHash(record.id.value) xor input.entropy, TIE_BREAK_VALUES)
            (candidate.load.openRequests + tieBreak * TIE_BREAK_WEIGHT) * candidate.pace /
                record.slots.coerceAtLeast(1) +
                (candidate.pace - AS_EXPECTED) * PACE_PENALTY +
                distance + candidate.failureRate * FAILURE_RATE_PENALTY
        }?.let { ForwardChoice(it.record.id, emptyList(), Duration.ZERO, Duration.ZERO) }
    }

    private fun placeAtPlainService(input: ForwardPlacementInput): ForwardChoice? =
        if (input.profile == null) leastUtilised(input) else null

    /** Utilisation, as a share of slots, that is added for another data centre. */
    private const val REMOTE_DATA_CENTRE_PENALTY = 0.1

    /** Utilisation, as a share of slots, that is added for an endpoint that always fails. */
    private const val FAILURE_RATE_PENALTY = 3.0

    /** Utilisation, as a share of slots, for each multiple of the usual time beyond the first. */
    private const val PACE_PENALTY = 0.5
    private const val TIE_BREAK_VALUES = 1024L
    private const val TIE_BREAK_WEIGHT = 0.5 / TIE_BREAK_VALUES
}
