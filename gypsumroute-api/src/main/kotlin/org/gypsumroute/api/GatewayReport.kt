package org.gypsumroute.api

/**
 * What a gateway tells the others: who it is, which records it holds and its own work at endpoints.
 *
 * A later report of the same [incarnation] has a higher [sequence] and replaces all earlier ones,
 * so a lost report needs no repeat. [members] are the gateways that it hears from. [ready] tells
 * whether the balancer may send it new connections.
 */
data class GatewayReport(
    val host: HostId,
    val incarnation: IncarnationId,
    val sequence: Long,
    val revision: Revision,
    val storeReachable: Boolean,
    val ready: Boolean,
    val loads: Map<EndpointId, EngineLoad>,
    val members: List<EndpointAddress>
)
