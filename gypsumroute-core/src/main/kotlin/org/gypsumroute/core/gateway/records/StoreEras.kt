/*
 * The era of the store, which tells whether it came back from an older copy of its items.
 */
package org.gypsumroute.core.gateway.records

import org.gypsumroute.api.AnsweredEra
import org.gypsumroute.api.EraProblem
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.StoreEra
import org.gypsumroute.api.StorePosition
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then

/** Source of an era that an answer of the store stated. */
private const val STORE_SOURCE = "store"

private fun learntBy(source: String): String = if (source == STORE_SOURCE) source else "member"

/** Takes over the era of an answer of the store. */
internal fun noteAnsweredEra(state: GatewayState, answered: AnsweredEra?): Step<GatewayState> {
    if (answered == null) return state.step()
    return learnEra(state, answered.era, STORE_SOURCE)
        .then { noteEraProblem(it, answered.problem) }
}

/**
 * Notes that the store has reached this [era], if it is later than the one known. All records are
 * read next then, since a change may stand at a revision that was read before.
 */
internal fun learnEra(state: GatewayState, era: StoreEra, source: String): Step<GatewayState> {
    val before = state.published.reads.era
    if (era <= before) return state.step()
    val learnt = withReads(state) {
        it.copy(era = era, eraProblems = it.eraProblems.clear(), fruitlessAnswers = 0)
    }
    if (state.published.position == StorePosition.NONE) return learnt.step()
    return learnt.step(
        logEffect(
            LogEvent.STORE_ERA_CHANGED,
            "before" to before,
            "after" to era,
            "source" to source,
            "revision" to state.published.position.revision
        ),
        RuntimeEffect.Count(Metric.STORE_ERAS, MetricLabels(outcome = learntBy(source)))
    )
}

/**
 * Reads all records at once if another gateway reports a later era, since a call that waits for
 * changes may not answer for some time. Only an answer of the store itself makes the era known: one
 * that it never had would hide its next return.
 */
internal fun noteReportedEra(state: GatewayState, report: GatewayReport): Step<GatewayState> {
    val published = state.published
    val isNew = report.position.era > maxOf(published.reads.era, published.reads.reportedEra)
    if (!isNew || published.position == StorePosition.NONE) return state.step()
    val noted = withReads(state) { it.copy(reportedEra = report.position.era) }
        .step(
            logEffect(
                LogEvent.STORE_ERA_REPORTED,
                "known" to published.reads.era,
                "reported" to report.position.era,
                "member" to report.host
            )
        )
        .then { requireFullRead(it).step() }
    return if (published.storeReachable) noted.then { startRead(it) } else noted
}

/** Whether the records in force are of the latest known era of the store. */
internal fun isOfLatestEra(state: GatewayState): Boolean =
    state.published.position.era == state.published.reads.era

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
