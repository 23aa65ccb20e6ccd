/*
 * The paces of the endpoints of one service, from the observations of each.
 *
 * A pace is relative to the median of the service, so that an error of the predictions that all
 * endpoints share cancels out. It is exactly 1 unless the difference exceeds what the spread of the
 * observations explains. Observations lose weight with age, so that a pace returns to 1 and a slow
 * endpoint is tried again.
 */
package org.gypsumroute.core.gateway.endpoints

import kotlin.LazyThreadSafetyMode.NONE
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.ReportedPace
import org.gypsumroute.core.GatewayState

/**
 * The paces of endpoints that are slower than the rest of their service at [now]. [usesModel] tells
 * whether observations are relative to a model's predictions; an endpoint is then not slow while it
 * keeps to them, however fast the others are.
 */
internal class ServicePaces(
    private val endpoints: Collection<EndpointState>,
    private val usesModel: Boolean,
    private val now: Moment,
    reported: Map<EndpointId, List<ReportedPace>> = emptyMap()
) {
    /** Reports that name most endpoints tell of an error of the model, not of slow endpoints. */
    private val reports = reported
        .takeIf { endpoints.count { it.record.id in reported } * 2 <= endpoints.size }
        .orEmpty()
    private val observed by lazy(NONE) {
        endpoints.map { it.pace }.filter { it.weight(now) >= LEAST_WEIGHT }
    }
    private val baseline by lazy(NONE) {
        baselineOf(observed.map { it.mean }, endpoints.size - observed.size, usesModel)
    }
    private val variance by lazy(NONE) {
        varianceOf(observed.map { it.variance }, if (usesModel) ENGINE_VARIANCE else PLAIN_VARIANCE)
    }

    /** How many times as long as the rest of its service the endpoint takes; at least 1. */
    fun of(endpoint: EndpointState): Double {
        val reportsOfEndpoint = reports[endpoint.record.id].orEmpty()
        // Most engines need no look at the others, since no baseline is below the prediction.
        val keepsToModel = usesModel && endpoint.pace.mean <= SMALLEST_EXCESS
        if (keepsToModel && reportsOfEndpoint.isEmpty()) return AS_EXPECTED
        val own = WeightedMean(endpoint.pace.mean, endpoint.pace.weight(now))
        val (mean, weight) = withReports(own, reportsOfEndpoint)
        if (weight < LEAST_WEIGHT) return AS_EXPECTED
        val excess = (mean - baseline) * weight / (weight + PRIOR_WEIGHT)
        val noise = NOISE_FACTOR * sqrt(variance / weight)
        val isSlow = excess > maxOf(SMALLEST_EXCESS, noise)
        return if (isSlow) exp(excess).coerceAtMost(LARGEST_PACE) else AS_EXPECTED
    }
}

/** The paces of the endpoints of the same service as [endpoint]. */
internal fun servicePaces(state: GatewayState, endpoint: EndpointState): ServicePaces {
    val service = endpoint.record.service
    return ServicePaces(
        state.endpoints.values.filter { it.record.service == service },
        usesModel = state.published.table?.services?.get(service)?.engine != null,
        state.common.now,
        reportedPaces(state)
    )
}

/** The pace of an endpoint; 1 for one that is not published. */
internal fun paceOf(state: GatewayState, id: EndpointId): Double =
    state.endpoints[id]?.let { servicePaces(state, it).of(it) } ?: AS_EXPECTED

/**
 * The median of the [means]. With a model, its prediction counts as one of them, and once more for
 * some of the [unobserved] endpoints: otherwise, if the only endpoints in use are slow, no other
 * one would be tried. The result is not below the prediction.
 */
private fun baselineOf(means: List<Double>, unobserved: Int, usesModel: Boolean): Double {
    if (!usesModel) return lowerMedian(means)
    val asPredicted = List(1 + unobserved / UNOBSERVED_PER_PREDICTION) { 0.0 }
    return lowerMedian(means + asPredicted).coerceAtLeast(0.0)
}

/** The median of the [variances]; that of an endpoint whose pace just changed does not count. */
private fun varianceOf(variances: List<Double>, usual: Double): Double =
    lowerMedian(variances + usual).coerceAtLeast(usual)

/** The median, the lower one of two; 0 without values. */
private fun lowerMedian(values: List<Double>): Double =
    values.sorted().getOrElse((values.size - 1) / 2) { 0.0 }

/** The pace of an endpoint that takes as long as expected. */
internal const val AS_EXPECTED = 1.0
internal const val LARGEST_PACE = 8.0

/** With more weight, an error of the model that all endpoints share would spread requests. */
private const val UNOBSERVED_PER_PREDICTION = 4

/** A single observation, however slow, decides nothing. */
internal const val LEAST_WEIGHT = 1.5

/** Observations as expected that are added to those of each endpoint. */
private const val PRIOR_WEIGHT = 0.5

/** Smaller differences come from the predictions rather than from the endpoint. */
private val SMALLEST_EXCESS: Double = ln(1.5)

/** Standard errors of the mean that count as noise. */
private const val NOISE_FACTOR = 2.5

/** Variance of the logarithms on an engine whose load is partly unknown. */
private const val ENGINE_VARIANCE = 0.1

/** The same on plain endpoints, whose answers differ more, since no model predicts them. */
private const val PLAIN_VARIANCE = 0.3
