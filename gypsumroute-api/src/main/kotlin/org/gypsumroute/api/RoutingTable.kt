/*
 * The routing table of a deployment whose endpoints have no agents.
 *
 * Operators publish the table as a whole, and the highest version is in force. The module of the
 * platform that publishes it decodes it.
 */
package org.gypsumroute.api

import kotlin.time.Duration

/**
 * One version of the routing table. [organisations] is null if callers need no key. Routes refer to
 * the entries of [services].
 */
data class RoutingTable(
    val version: TableVersion,
    val routes: List<Route>,
    val services: Map<ServiceId, ServiceRule>,
    val organisations: List<OrganisationKeys>?,
    val limits: CallerLimits
) {
    /** The shortest objective of the routes to each service. */
    val shortestObjectives: Map<ServiceId, Duration> by lazy {
        routes.flatMap { route -> route.trafficSplit.map { it.service to route.objective } }
            .groupBy({ it.first }, { it.second })
            .mapValues { it.value.min() }
    }
}

/**
 * Rule for requests for [hostName] whose path starts with [prefix]; the longest prefix wins.
 *
 * [timeout] bounds the whole request. [objective] is the latency objective: the time to the whole
 * answer, or to the first event of a stream. [gapObjective] is the longest time between two events
 * of a stream that meets its objective. A lower [priority] is more urgent. A request is sent to an
 * endpoint at most [maxAttempts] times. Requests for [public] routes need no key.
 */
data class Route(
    val name: RouteName,
    val hostName: String,
    val prefix: String,
    val repetition: Repetition,
    val streaming: Boolean,
    val timeout: Duration,
    val objective: Duration,
    val gapObjective: Duration?,
    val priority: Int,
    val trafficSplit: List<WeightedService>,
    val maxAttempts: Int,
    val public: Boolean
)

/** A service that gets requests of a route, in proportion to its [weight] among the others. */
data class WeightedService(val service: ServiceId, val weight: Double)

/**
 * Capacity of a service's endpoints. A cold endpoint gets at most [coldRequestsPerSecond] requests
 * from all gateways together; 0 sets no limit. [engine] is null for plain services.
 */
data class ServiceRule(
    val service: ServiceId,
    val coldRequestsPerSecond: Double,
    val engine: EngineProfile?
)

/**
 * The keys of one organisation as SHA-256 digests. A [priority] replaces that of the route; null
 * keeps it.
 */
data class OrganisationKeys(
    val organisation: OrganisationId,
    val keyDigests: Set<String>,
    val priority: Int?
)

/**
 * Limits for callers: the size of a request's headers and of its body, the time in which the
 * headers must arrive, and the time for which a connection may stay idle.
 */
data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration
)
