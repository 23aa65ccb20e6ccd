/*
 * Merges the burn rates of several entries.
 */
package org.gypsumroute.cli.burn

import org.gypsumroute.runtime.burnRate

/**
 * Adds up the requests of each objective and window and computes the rates from the sums. An
 * average of the entries' rates would give an idle entry the same weight as a busy one. While
 * entries have different documents in force, the strictest objective share is used.
 */
internal fun mergeBurn(pages: Collection<BurnPage>): List<BurnObjective> = pages
    .flatMap { it.objectives }
    .groupBy { it.key }
    .map { (_, objectives) -> mergeObjectives(objectives) }
    .sortedWith(reportOrder)

private fun mergeObjectives(objectives: List<BurnObjective>): BurnObjective {
    val objectiveShare = objectives.maxOf { it.objectiveShare }
    val windows = objectives.flatMap { it.windows }
        .groupBy { it.windowSeconds }
        .map { (seconds, counts) ->
            val good = counts.sumOf { it.good }
            val bad = counts.sumOf { it.bad }
            BurnCounts(seconds, good, bad, burnRate(good, bad, objectiveShare))
        }
    return objectives.first()
        .copy(objectiveShare = objectiveShare, windows = windows.sortedBy { it.windowSeconds })
}

private val reportOrder = compareBy<BurnObjective>(
    { it.service },
    { it.lengthClass },
    { it.organisation },
    { it.dataCentre }
)
