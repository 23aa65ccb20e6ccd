package org.gypsumroute.core.gateway.records

import org.gypsumroute.api.OrganisationKeys
import org.gypsumroute.api.Route
import org.gypsumroute.api.RoutingTable

/** Index of a routing table by host name and path, and by key digest. */
class RouteIndex private constructor(
    private val byHostName: Map<String, List<Route>>,
    private val byKeyDigest: Map<String, OrganisationKeys>
) {
    /** The route of [hostName] with the longest prefix that matches [path], or null. */
    fun find(hostName: String, path: String): Route? =
        byHostName[hostName.lowercase()]?.firstOrNull { path.startsWith(it.prefix) }

    /** The organisation that holds the key with this digest, or null. */
    fun organisation(keyDigest: String): OrganisationKeys? = byKeyDigest[keyDigest]

    companion object {
        val EMPTY = RouteIndex(emptyMap(), emptyMap())

        /** Builds the index of [table]. */
        fun of(table: RoutingTable): RouteIndex = RouteIndex(
            byHostName = table.routes.groupBy { it.hostName.lowercase() }
                .mapValues { (_, routes) -> routes.sortedByDescending { it.prefix.length } },
            byKeyDigest = table.organisations.orEmpty()
                .flatMap { organisation -> organisation.keyDigests.map { it to organisation } }
                .toMap()
        )
    }
}
