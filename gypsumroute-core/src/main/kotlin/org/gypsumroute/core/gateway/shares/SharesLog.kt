/*
 * Log lines and metrics about organisations that go over their share.
 */
package org.gypsumroute.core.gateway.shares

import kotlin.math.roundToLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Effect
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationDigest
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.logEffect

/**
 * Logs and counts the organisations of this gateway that went clearly over their share of a
 * service. An organisation appears again only after some time within its share.
 */
internal fun noteOverShare(state: GatewayState, service: ServiceId): Step<GatewayState> {
    val now = state.common.now
    val shares = state.shares.services.getValue(service)
    val excesses = shares.accounts.keys.associateWith { shares.excessOf(it, now) }
        .filterValues { it >= MIN_NOTED_EXCESS }
    if (excesses.isEmpty()) return Step(state, emptyList())
    val added = excesses.filterKeys { it !in shares.overUntil }
    val noted = shares.copy(
        overUntil = shares.overUntil.putAll(excesses.mapValues { now + OVER_HOLD })
    )
    val services = state.shares.services.put(service, noted)
    return Step(
        state.copy(shares = state.shares.copy(services = services)),
        effectsOf(service, shares, added, now)
    )
}

private fun effectsOf(
    service: ServiceId,
    shares: ServiceShares,
    added: Map<OrganisationDigest, Double>,
    now: Moment
): List<Effect> {
    if (added.isEmpty()) return emptyList()
    val count = RuntimeEffect.Count(
        Metric.ORGANISATIONS_OVER_SHARE,
        MetricLabels(service = service),
        by = added.size.toLong()
    )
    val logs = added.entries.sortedByDescending { it.value }.take(MAX_LOGGED_AT_ONCE)
        .map { (organisation, excess) -> overShareLog(service, shares, organisation, excess, now) }
    return logs + count
}

private fun overShareLog(
    service: ServiceId,
    shares: ServiceShares,
    organisation: OrganisationDigest,
    excess: Double,
    now: Moment
) = logEffect(
    LogEvent.ORGANISATION_OVER_SHARE,
    "organisation" to (shares.accounts[organisation]?.organisation ?: "none"),
    "service" to service,
    "engines" to enginesOf(shares.usedBy(organisation, now)),
    "fair_engines" to enginesOf(shares.fairShare),
    "excess" to rounded(excess),
    "organisations" to shares.accounts.size
)

/** The number of engines that this use occupies on average. */
private fun enginesOf(use: Duration): Double = rounded(use / USE_TIME_CONSTANT)

private fun rounded(value: Double): Double = (value * 100).roundToLong() / 100.0

/** A smaller excess is within the variation of a few requests. */
private const val MIN_NOTED_EXCESS = 0.1
private const val MAX_LOGGED_AT_ONCE = 4
private val OVER_HOLD: Duration = 30.seconds
