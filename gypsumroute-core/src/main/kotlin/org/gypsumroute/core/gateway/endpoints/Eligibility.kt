/*
 * Which endpoints may get a request, whatever the choice among them.
 */
package org.gypsumroute.core.gateway.endpoints

import org.gypsumroute.api.ServiceId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.ForwardRecord
import org.gypsumroute.core.gateway.placement.ForwardChoice

/** Whether the request may be sent to the endpoint now. */
internal fun mayReceive(
    state: GatewayState,
    record: ForwardRecord,
    endpoint: EndpointState
): Boolean = acceptsNewRequests(state, record, endpoint) &&
    endpoint.record.id !in record.triedEndpoints && coldLimitAllows(state, endpoint) &&
    pauseAllows(state, endpoint)

/**
 * Whether the endpoint serves the request's service and is meant to get new requests, according to
 * its own record and answers and to the data centres that operators took out.
 */
internal fun acceptsNewRequests(
    state: GatewayState,
    record: ForwardRecord,
    endpoint: EndpointState
): Boolean = acceptsNewRequests(state, record.service, endpoint)

/** The same for any request for a service. */
internal fun acceptsNewRequests(
    state: GatewayState,
    service: ServiceId,
    endpoint: EndpointState
): Boolean = endpoint.record.service == service && !isLeaving(state, endpoint) &&
    !endpoint.misdirected && endpoint.record.dataCentre !in state.published.dataCentresOut

/** Whether the endpoint is meant to get new requests of the service and is not suspended. */
internal fun isReachable(
    state: GatewayState,
    service: ServiceId,
    endpoint: EndpointState
): Boolean = acceptsNewRequests(state, service, endpoint) &&
    endpoint.health.suspendedUntil <= state.common.now

/**
 * Whether an earlier choice is still valid: records may have changed, or endpoints asked for a
 * pause, since it was made.
 */
internal fun isStillValid(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice
): Boolean = (choice.helpers + choice.endpoint).all { id ->
    state.endpoints[id]?.let {
        acceptsNewRequests(state, record, it) && !isPaused(state, it)
    } == true
}

private fun coldLimitAllows(state: GatewayState, endpoint: EndpointState): Boolean {
    val now = state.common.now
    if (now >= endpoint.coldUntil) return true
    val rule = state.published.table?.services?.get(endpoint.record.service)
    val rate = rule?.coldRequestsPerSecond ?: 0.0
    if (rate == 0.0) return true
    val share = coldShare(state, endpoint.record.id, rate)
    return share > 0 && endpoint.recentSends.allows(now, share)
}
