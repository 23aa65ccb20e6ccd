/*
 * What gateways tell each other of slow engines.
 *
 * With many gateways, each sees few answers of an engine, and finds out late that it is slow. A
 * report carries few engines, only those whose answers clearly took longer than expected. Since
 * answers as expected are not reported, reports count for less than own observations, and not
 * against them.
 */
package org.gypsumroute.core.gateway.endpoints

import kotlin.math.exp
import kotlin.math.ln
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.ReportedPace
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.exchange.recentPeerReports

/** The engines that this gateway itself observed to be slow, the clearest first. */
internal fun paceReport(state: GatewayState): List<ReportedPace> {
    val now = state.common.now
    return state.endpoints.values
        .filter { it.pace.mean > SMALLEST_REPORTED && it.pace.weight(now) >= LEAST_REPORTED_WEIGHT }
        .filter { hasModel(state, it) }
        .sortedByDescending { it.pace.mean * it.pace.weight(now) }
        .take(MAX_REPORTED_PACES)
        .map {
            val record = it.record
            ReportedPace(record.id, record.startedAt, exp(it.pace.mean), it.pace.weight(now))
        }
}

/** What other gateways reported recently of the present starts of endpoints. */
internal fun reportedPaces(state: GatewayState): Map<EndpointId, List<ReportedPace>> =
    recentPeerReports(state).flatMap { it.paces }
        .filter { state.endpoints[it.endpoint]?.record?.startedAt == it.startedAt }
        .groupBy { it.endpoint }

/** An average of logarithms of ratios, and its weight in observations. */
internal data class WeightedMean(val mean: Double, val weight: Double)

/** The own observations, completed by reports unless they contradict these. */
internal fun withReports(own: WeightedMean, reports: List<ReportedPace>): WeightedMean {
    val contradicts = own.weight >= LEAST_WEIGHT && own.mean < SMALLEST_REPORTED
    if (reports.isEmpty() || contradicts) return own
    val weights = reports.sumOf { weightOf(it) }
    val mean = reports.sumOf { weightOf(it) * ln(it.ratio) } / weights
    val weight = weights.coerceAtMost(LARGEST_WEIGHT_OF_REPORTS)
    return WeightedMean(
        (own.mean * own.weight + mean * weight) / (own.weight + weight),
        own.weight + weight
    )
}

private fun hasModel(state: GatewayState, endpoint: EndpointState): Boolean =
    state.published.table?.services?.get(endpoint.record.service)?.engine != null

private fun weightOf(report: ReportedPace): Double = report.weight * REPORT_WEIGHT

private val SMALLEST_REPORTED: Double = ln(1.5)

/** One observation, until it has lost half of its weight. */
private const val LEAST_REPORTED_WEIGHT = 0.5
private const val MAX_REPORTED_PACES = 6

/** Weight of another gateway's observation beside an own one. */
private const val REPORT_WEIGHT = 0.5
private const val LARGEST_WEIGHT_OF_REPORTS = 4.0
