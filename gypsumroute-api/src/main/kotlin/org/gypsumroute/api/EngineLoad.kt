package org.gypsumroute.api

import kotlin.time.Duration

/**
 * The work of one gateway at one endpoint.
 *
 * [openRequests] counts the requests that hold a slot or wait for one, and [decodingRequests] those
 * of them whose stream has begun. [context] is the number of tokens held in the engine's memory.
 *
 * [pendingPrefill] is the prefill time of prompts, and of parts of prompts, whose prefill is not
 * known to be done. [totalPrefillSent] adds up the prefill time of all prompts that the gateway
 * ever sent there, and [totalHelperPrefillSent] that of all parts for requests that run on other
 * endpoints. Both only grow, so a receiver subtracts the values of the last report to know what was
 * added, even if reports in between were lost.
 *
 * [delayCostPerSecond] is the value lost with each second by which requests that do not decode yet
 * are delayed. [gapTolerances] give the value of the streams that are lost if a pass takes longer
 * than they tolerate.
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
        /** Adds up the values of the entries that tolerate the same gap. */
        fun mergeEqualGaps(tolerances: List<GapTolerance>): List<GapTolerance> =
            if (tolerances.size < 2) {
                tolerances
            } else {
                tolerances.groupBy { it.gap }.map { (gap, same) ->
                    GapTolerance(gap, same.sumOf { it.value })
                }
            }
    }
}
