/*
 * Policies that rank the endpoints for a request.
 */
package org.gypsumroute.core.requests

import kotlin.time.Duration
import org.gypsumroute.core.PlacementCandidate
import org.gypsumroute.core.PlacementContext
import org.gypsumroute.core.PlacementPolicy
import org.gypsumroute.core.admission.fits
import org.gypsumroute.core.admission.freeMemory
import org.gypsumroute.core.map
import org.gypsumroute.core.peers.expectedWait
import org.gypsumroute.core.rendezvousWeight
import org.gypsumroute.core.unitInterval

/** Placement functions for [Policies.placement]. */
object PlacementPolicies {
    /**
     * Ranks endpoints by expected wait in steps of 20 ms. Ties are decided by whether the request
     * fits the free memory, then by load in tenths of the offered memory, then by prefix affinity
     * with a bonus for the entry's own data centre. A cold endpoint offers only its warm share of
     * the memory. Endpoints that do not accept work are left out.
     */
    val expectedWait: PlacementPolicy = { context ->
        context.candidates.filter { accepts(it) }
            .map { scoreOf(context, it) }
            .sortedWith(
                compareBy({ it.waitSteps }, { !it.fits }, { it.load }, { -it.affinity })
            )
            .map { it.candidate }
    }

    /** Baseline, as in common load balancers: fewest open leases of this entry first. */
    val leastOutstanding: PlacementPolicy = { context ->
        context.candidates.filter { accepts(it) }.sortedWith(
            compareBy({ it.openLeases }, { tieBreaker(context, it) })
        )
    }

    private class Score(
        val candidate: PlacementCandidate,
        val waitSteps: Long,
        val fits: Boolean,
        val load: Long,
        val affinity: Double
    )

    private fun scoreOf(context: PlacementContext, candidate: PlacementCandidate): Score {
        val summary = candidate.summary
        val wait = summary?.expectedWait ?: Duration.ZERO
        val memory = summary?.engineMemory?.count ?: 0
        val offered = memory * (summary?.warmShare ?: 1.0)
        val openLeaseTokens = candidate.openLeases * context.neededTokens.count
        val used = memory - (summary?.freeMemory?.count ?: 0) + openLeaseTokens
        val load = if (offered > 0) used * LOAD_STEPS / offered else 0.0
        val prefix = context.prefix?.value ?: context.entropy
        val weight = rendezvousWeight(prefix.toString(), candidate.hostRecord.host.value)
        val local = candidate.hostRecord.dataCentre.value == context.localDataCentre
        return Score(
            candidate = candidate,
            waitSteps = wait.inWholeMilliseconds / WAIT_STEP_MILLISECONDS,
            fits = offered - used >= context.neededTokens.count,
            load = load.toLong(),
            affinity = unitInterval(weight) + if (local) LOCAL_DATA_CENTRE_BONUS else 0.0
        )
    }

    private fun accepts(candidate: PlacementCandidate): Boolean =
        candidate.summary?.accepting != false

    private fun tieBreaker(context: PlacementContext, candidate: PlacementCandidate): Long =
        rendezvousWeight(context.entropy.toString(), candidate.hostRecord.host.value)

    private const val LOAD_STEPS = 10
    private const val WAIT_STEP_MILLISECONDS = 20

    // Affinity is 0 to 1, so this bonus decides most ties for the local data centre but does not
    // outweigh a strong prefix affinity of an endpoint elsewhere.
    private const val LOCAL_DATA_CENTRE_BONUS = 0.5
}
