package org.gypsumroute.api

import kotlin.time.Duration

/**
 * One gateway's work at one endpoint.
 *
 * [openRequests] counts requests that hold or wait for a slot, [decodingRequests] those that write already, and
 * [context] the tokens held. [pendingPrefill] is the reading time of prompts and parts that are not known
 * to be read. [totalPrefillSent] and [totalHelperPrefillSent] add up the reading time of all own prompts and of all parts
 * for others that were ever sent there, so that a receiver knows what was added since the last
 * report. [delayCostPerSecond] is what a second of delay costs its unread requests. [gapTolerances] tell what is lost
 * if a pass takes longer than the pauses that writers bear.
 */
data class EngineLoad(
    val openRequests: Int = 0,
    val decodingRequests: Int = 0,
    val context: Long = 0,
    val pendingPrefill: Duration = Duration.ZERO,
    val totalPrefillSent: Duration = Duration.ZERO,
    val totalHelperPrefillSent: Duration = Duration.ZERO,
    val delayCostPerSecond: Double = 0.0,
    val gapTolerances: List<GapTolerance> = emptyList()
) {
    operator fun plus(other: EngineLoad): EngineLoad = EngineLoad(
        openRequests + other.openRequests,
        decodingRequests + other.decodingRequests,
        context + other.context,
        pendingPrefill + other.pendingPrefill,
        totalPrefillSent + other.totalPrefillSent,
        totalHelperPrefillSent + other.totalHelperPrefillSent,
        delayCostPerSecond + other.delayCostPerSecond,
        mergeEqualGaps(gapTolerances + other.gapTolerances)
    )

    companion object {
        /** Adds up the stakes that bear the same pause. */
        fun mergeEqualGaps(gapTolerances: List<GapTolerance>): List<GapTolerance> =
            if (gapTolerances.size <
                2
            ) {
                gapTolerances
            } else {
                gapTolerances.groupBy { it.gap }.map { (gap, same) ->
                    GapTolerance(gap, same.sumOf { it.value })
                }
            }
    }
}
