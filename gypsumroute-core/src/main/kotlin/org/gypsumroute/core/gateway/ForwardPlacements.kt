/*
 * Placements of forwarded requests.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration

/** Placement functions for [GatewayPolicies.placement]. */
object ForwardPlacements {
    /** The endpoint with the fewest open requests of this gateway, its own data centre first. */
    val leastOpen: ForwardPlacement = { question ->
        question.candidates.minWithOrNull(
            compareBy(
                { it.failureShare > LARGEST_FAILURE_SHARE },
                { it.state.work.size },
                { it.state.record.dataCentre.value != question.ownDataCentre },
                { it.state.record.id.value.hashCode() xor question.entropy.toInt() }
            )
        )?.let { ForwardChoice(it.state.record.id, emptyList(), Duration.ZERO, Duration.ZERO) }
    }

    private const val LARGEST_FAILURE_SHARE = 0.5
}
