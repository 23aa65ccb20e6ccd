package org.gypsumroute.core.gateway.records

import org.gypsumroute.api.OrganisationKeys
import org.gypsumroute.api.Route
import org.gypsumroute.api.RoutingTable

/** Index of a routing table by host name and path, and by key digest. */
class RouteIndex private constructor(
    private val byHostName: Map<String, HostRoutes>,
    private val organisations: List<OrganisationKeys>,
    private val byKeyDigest: Map<String, OrganisationKeys>
) {
    /** The route of [hostName] with the longest prefix that matches [path], or null. */
    fun find(hostName: String, path: String): Route? = byHostName[hostName.lowercase()]?.find(path)

    /** The organisation that holds the key with this digest, or null. */
    fun organisation(keyDigest: String): OrganisationKeys? = byKeyDigest[keyDigest]

    companion object {
        val EMPTY = RouteIndex(emptyMap(), emptyList(), emptyMap())

        /** Builds the index of [table] with the parts of the [previous] one that are the same. */
        fun of(table: RoutingTable, previous: RouteIndex = EMPTY): RouteIndex {
            val organisations = table.organisations.orEmpty()
            return RouteIndex(
                table.routes.groupBy { it.hostName.lowercase() }.mapValues { (hostName, routes) ->
                    previous.byHostName[hostName]?.takeIf { it.routes == routes }
                        ?: HostRoutes(routes)
                },
                organisations,
                previous.byKeyDigest.takeIf { previous.organisations == organisations }
                    ?: byKeyDigest(organisations)
            )
        }

        private fun byKeyDigest(organisations: List<OrganisationKeys>) = organisations
            .flatMap { organisation -> organisation.keyDigests.map { it to organisation } }
            .toMap()
    }
}

/** The [routes] of one host name, by their prefixes. */
private class HostRoutes(val routes: List<Route>) {
    /** Of several routes with one prefix, the first counts. */
    private val byPrefix = routes.asReversed().associateBy { it.prefix }

    private val prefixLengths = byPrefix.keys.map { it.length }.distinct().sortedDescending()

    /** The route with the longest prefix that matches [path], or null. */
    fun find(path: String): Route? = prefixLengths.firstNotNullOfOrNull { length ->
        if (length <= path.length) byPrefix[path.substring(0, length)] else null
    }
}
