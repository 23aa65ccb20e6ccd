/*
 * Loads that endpoints state in their answers. They complete what the gateways know of each other's
 * work, and are ignored when they are malformed.
 */
package org.gypsumroute.core.gateway

import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.step

internal fun reduceLoadStated(
    state: GatewayState,
    event: ForwardEvent.LoadStated
): Step<GatewayState> {
    val load = event.load
        ?: return state.step(RuntimeEffect.Count(Metric.LOADS_REJECTED, MetricLabels()))
    val endpoint = state.endpoints[event.endpoint] ?: return state.step()
    val known = knownLoad(endpoint, recentPeerReports(state)).openRequests
    val unseen = UnseenLoad((load.openRequests - known).coerceAtLeast(0), state.common.now)
    val updated = endpoint.copy(unseenLoad = unseen)
    return state.copy(endpoints = state.endpoints.put(event.endpoint, updated)).step()
}
