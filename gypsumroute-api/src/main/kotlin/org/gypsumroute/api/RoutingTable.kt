/*
 * The published rules of a deployment whose endpoints have no agents.
 *
 * Operators publish the table as a whole; the newest version is in force. Codecs live in the
 * adapter of the platform that publishes it.
 */
package org.gypsumroute.api

import kotlin.time.Duration

/**
 * One version of the rules. [organisations] is null if callers need no key; [services] lists what
 * routes may name.
 */
data class RoutingTable(
    val version: TableVersion,
    val routes: List<Route>,
    val services: Map<ServiceId, ServiceRule>,
    val organisations: List<OrganisationKeys>?,
    val limits: CallerLimits
)

/**
 * Where requests for [hostName] and paths under [prefix] go.
 *
 * [timeout] bounds the whole request; [objective] is the time to the whole answer, or to the first
 * event of a stream, and [gapObjective] the longest pause between its events. A lower [priority] is
 * more urgent. [attempts] counts the endpoints that one request may be sent to. Routes that are
 * [public] need no key.
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
    val shares: List<ServiceShare>,
    val attempts: Int,
    val public: Boolean
)

/** A service that gets a part of a route's requests in proportion to [weight]. */
data class ServiceShare(val service: ServiceId, val weight: Int)

/**
 * What the endpoints of a service can bear. While an endpoint is cold it takes [coldRequestsPerSecond] requests
 * a second; 0 sets no limit. [engine] is null for plain services.
 */
data class ServiceRule(
    val service: ServiceId,
    val coldRequestsPerSecond: Double,
    val engine: EngineProfile?
)

/** The keys of one organisation as SHA-256 digests; a null [priority] leaves the route's. */
data class OrganisationKeys(
    val organisation: OrganisationId,
    val keyDigests: Set<String>,
    val priority: Int?
)

/** What a caller may send, and how long it may take or stay idle. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration
)
