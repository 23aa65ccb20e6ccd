/*
 * Burn rates of several entries as those of one.
 */
package org.gypsumroute.cli.burn

import org.gypsumroute.runtime.burnRate

/**
 * Adds up the requests of each topic and window and computes the rates anew; an average of the
 * entries' rates would weigh an idle entry like a busy one. While entries have different documents
 * in force, the strictest objective counts.
 */
internal fun mergeBurn(pages: Collection<BurnPage>): List<BurnObjective> = pages
    .flatMap { it.objectives }
    .groupBy { it.topic }
    .map { (_, objectives) -> mergeObjectives(objectives) }
    .sortedWith(reportOrder)

private fun mergeObjectives(objectives: List<BurnObjective>): BurnObjective {
    val share = objectives.maxOf { it.objectiveShare }
    val windows = objectives.flatMap { it.windows }
        .groupBy { it.windowSeconds }
        .map { (seconds, counts) ->
            val good = counts.sumOf { it.good }
            val bad = counts.sumOf { it.bad }
            BurnCounts(seconds, good, bad, burnRate(good, bad, share))
        }
    return objectives.first()
        .copy(objectiveShare = share, windows = windows.sortedBy { it.windowSeconds })
}

private val reportOrder = compareBy<BurnObjective>(
    { it.service },
    { it.lengthClass },
    { it.organisation },
    { it.dataCentre }
)
