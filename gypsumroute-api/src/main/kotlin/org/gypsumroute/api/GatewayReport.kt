package org.gypsumroute.api

import kotlin.time.Duration

/**
 * Report of a gateway to the others: its identity, the published records that it holds, and its own
 * work at endpoints.
 *
 * A later report of the same [incarnation] has a higher [sequence] and replaces all earlier ones,
 * so a lost report is not repeated. [position] is that of the records it holds, [tableVersion] that
 * of its routing table, or null if it has none, and
 * [storeReachable] tells whether its last read of the store succeeded. [members] are the gateways
 * that it hears from. [ready] tells whether the load balancer may send it new connections.
 * [crashes] is what it knows of prompts under which endpoints ended. [age] is the time since it
 * started. [leaving] are endpoints that stated to it that they leave. [storeAnswerAge] is the time
 * since the store last answered it, or null if it never has. [organisationUse] tells the use of
 * services that are short of capacity by the organisations that use them most.
 * [paces] are engines whose answers to it took longer than expected.
 */
data class GatewayReport(
    val host: HostId,
    val incarnation: IncarnationId,
    val sequence: Long,
    val position: StorePosition,
    val storeReachable: Boolean,
    val ready: Boolean,
    val loads: Map<EndpointId, EngineLoad>,
    val members: List<EndpointAddress>,
    val crashes: CrashReport = CrashReport(),
    val age: Duration = Duration.ZERO,
    val leaving: List<ReportedLeaving> = emptyList(),
    val storeAnswerAge: Duration? = null,
    val organisationUse: List<ServiceUse> = emptyList(),
    val paces: List<ReportedPace> = emptyList(),
    val tableVersion: TableVersion? = null
)
