/*
 * Refresh of the shares of organisations, with the reports to other gateways. Requests in between
 * use its results, so that no request causes work for each organisation.
 */
package org.gypsumroute.core.gateway.shares

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.gypsumroute.api.Moment
import org.gypsumroute.api.RoutingTable
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.exchange.recentPeerReports
import org.gypsumroute.core.step
import org.gypsumroute.core.thenEach

/** Computes the shares of all services anew, unless that was done just before. */
internal fun refreshShares(state: GatewayState): Step<GatewayState> {
    val table = state.published.table
    val now = state.common.now
    return when {
        table?.organisations == null -> state.withShares(SharesState()).step()

        now - state.shares.refreshedAt < MIN_REFRESH_INTERVAL -> state.step()

        else -> state.withShares(refreshedShares(state, table)).let { next ->
            next.step().thenEach(next.shares.services.keys, ::noteOverShare)
        }
    }
}

private fun refreshedShares(state: GatewayState, table: RoutingTable): SharesState {
    val now = state.common.now
    val services = table.services.values.filter { it.engine != null }
        .associate { it.service to refreshedService(state, it.service) }
        .filterValues { it.accounts.isNotEmpty() || now < it.shortUntil }
    return SharesState(services.toPersistentMap(), reportedUse(services, now), now)
}

private fun refreshedService(state: GatewayState, service: ServiceId): ServiceShares {
    val now = state.common.now
    val previous = state.shares.services[service] ?: ServiceShares()
    val shortUntil = if (isExhausted(state, service)) now + SHORTAGE_HOLD else previous.shortUntil
    val accounts = previous.accounts.without { !it.isActive(now) }
    val overUntil = previous.overUntil.without { it <= now }
    if (now >= shortUntil) return ServiceShares(accounts, overUntil = overUntil)
    val known = KnownUse(
        own = accounts.mapValues { it.value.useAt(now) },
        reports = recentPeerReports(state).flatMap { it.organisationUse }
            .filter { it.service == service }
    )
    return ServiceShares(
        accounts = accounts,
        shortUntil = shortUntil,
        fairShare = known.fairShare(reachableEngines(state, service).size),
        usedElsewhere = known.usedElsewhere,
        overUntil = overUntil
    )
}

private fun GatewayState.withShares(changed: SharesState) =
    if (changed == shares) this else copy(shares = changed)

private fun <K, V> PersistentMap<K, V>.without(isObsolete: (V) -> Boolean): PersistentMap<K, V> {
    val obsolete = filterValues(isObsolete).keys
    return if (obsolete.isEmpty()) this else builder().apply { keys.removeAll(obsolete) }.build()
}

/** Reports are more frequent with few gateways, but shares change little in this time. */
private val MIN_REFRESH_INTERVAL: Duration = 100.milliseconds

/** Keeps shares in force while a service is short with brief interruptions. */
private val SHORTAGE_HOLD: Duration = 1.seconds
