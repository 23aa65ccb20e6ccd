/*
 * The era of the store, which tells whether it came back from an older copy of its items.
 */
package org.gypsumroute.core.gateway.records

import org.gypsumroute.api.AnsweredEra
import org.gypsumroute.api.EraProblem
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.Revision
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.StoreEra
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then

/** Source of an era that an answer of the store stated. */
private const val STORE_SOURCE = "store"

/** Takes over the era of an answer of the store. */
internal fun noteAnsweredEra(state: GatewayState, answered: AnsweredEra?): Step<GatewayState> {
    if (answered == null) return state.step()
    return learnEra(state, answered.era, STORE_SOURCE)
        .then { noteEraProblem(it, answered.problem) }
}

/** Notes that the store has reached this [era], if it is later than the one known. */
private fun learnEra(state: GatewayState, era: StoreEra, source: String): Step<GatewayState> {
    val before = state.published.reads.era
    if (era <= before) return state.step()
    val learnt = withReads(state) { it.copy(era = era, eraProblems = it.eraProblems.clear()) }
    if (state.published.revision == Revision.NONE) return learnt.step()
    return learnt.step(
        logEffect(
            LogEvent.STORE_ERA_CHANGED,
            "before" to before,
            "after" to era,
            "source" to source,
            "revision" to state.published.revision
        ),
        RuntimeEffect.Count(Metric.STORE_ERAS, MetricLabels(outcome = source))
    )
}

/** Counts answers without a usable era, and logs the first of each kind in an era. */
private fun noteEraProblem(state: GatewayState, problem: EraProblem?): Step<GatewayState> {
    if (problem == null) return state.step()
    val reads = state.published.reads
    val count =
        RuntimeEffect.Count(Metric.STORE_ERAS_REJECTED, MetricLabels(outcome = problem.code))
    if (problem in reads.eraProblems) return state.step(count)
    return withReads(state) { it.copy(eraProblems = it.eraProblems.add(problem)) }.step(
        logEffect(
            LogEvent.STORE_ERA_UNUSABLE,
            "problem" to problem.code,
            "used" to reads.era
        ),
        count
    )
}
