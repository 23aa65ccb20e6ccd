/*
 * Loads that endpoints state in their answers. They complete what the gateways know of each other's
 * work.
 */
package org.gypsumroute.core.gateway.endpoints

import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointLoadReport
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.knownLoad
import org.gypsumroute.core.gateway.exchange.recentPeerReports
import org.gypsumroute.core.step

internal fun reduceLoadStated(
    state: GatewayState,
    id: EndpointId,
    load: EndpointLoadReport
): Step<GatewayState> {
    val endpoint = state.endpoints[id] ?: return state.step()
    val known = knownLoad(endpoint, recentPeerReports(state)).openRequests
    val unseen = UnseenLoad((load.openRequests - known).coerceAtLeast(0), state.common.now)
    val updated = endpoint.copy(unseenLoad = unseen)
    return state.copy(endpoints = state.endpoints.put(id, updated)).step()
}
