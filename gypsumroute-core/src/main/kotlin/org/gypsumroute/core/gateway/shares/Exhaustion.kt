/*
 * When the engines of a service are exhausted: none has room. Admission acts before that, when too
 * few have room.
 */
package org.gypsumroute.core.gateway.shares

import kotlin.time.Duration
import org.gypsumroute.api.EngineProfile
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.ServiceId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.knownLoad
import org.gypsumroute.core.gateway.endpoints.EndpointState
import org.gypsumroute.core.gateway.endpoints.isPaused
import org.gypsumroute.core.gateway.endpoints.isReachable
import org.gypsumroute.core.gateway.exchange.recentPeerReports

/**
 * Whether no engine of the service can serve a request with the shortest objective of its routes in
 * time, according to the known work of all gateways. Plain services are never short, and neither is
 * a service without a reachable engine, where nothing is left to share.
 */
internal fun isExhausted(state: GatewayState, service: ServiceId): Boolean {
    val table = state.published.table ?: return false
    val profile = table.services[service]?.engine ?: return false
    val objective = table.shortestObjectives[service] ?: return false
    val engines = reachableEngines(state, service)
    val others = recentPeerReports(state)
    return engines.isNotEmpty() &&
        engines.all { isBusy(state, it, others, profile, objective * MAX_WAIT_SHARE) }
}

/** The engines of a service that are meant to get new requests and are not known to be down. */
internal fun reachableEngines(state: GatewayState, service: ServiceId): List<EndpointState> =
    state.endpoints.values.filter { isReachable(state, service, it) }

/** Whether a new prompt would find no slot here, or wait for longer than [maxWait]. */
private fun isBusy(
    state: GatewayState,
    engine: EndpointState,
    others: List<GatewayReport>,
    profile: EngineProfile,
    maxWait: Duration
): Boolean {
    if (isPaused(state, engine)) return true
    val now = state.common.now
    val load = knownLoad(engine, others)
    val openRequests = load.openRequests + engine.unseenLoad.requestsAt(now)
    val backlog = engine.backlogUnder(load, now)
    return openRequests >= profile.slots || backlog.total > maxWait
}

/** Share of an objective that a prompt can wait; the rest goes into its prefill and a pass. */
private const val MAX_WAIT_SHARE = 0.5
