/*
 * Entries of a routing table that no request can ever use.
 */
package org.gypsumroute.core.gateway.check

import org.gypsumroute.api.OrganisationKeys
import org.gypsumroute.api.Route
import org.gypsumroute.api.RoutingTable

internal fun unmatchedEntries(table: RoutingTable): List<Finding> =
    hiddenRoutes(table) + table.routes.flatMap(::unmatchedPartsOf) + unusedServices(table) +
        organisationsWithoutKeys(table) + sharedKeys(table) + routesWithoutCallers(table)

/** Of several routes with the same host and prefix, the first one gets all requests. */
private fun hiddenRoutes(table: RoutingTable): List<Finding> =
    table.routes.groupBy { it.hostName.lowercase() to it.prefix }.values.flatMap { same ->
        val first = same.first()
        same.drop(1).map {
            val detail = "hidden by route ${first.name}, which has the same host and prefix"
            neverMatches(pathOf(it), detail)
        }
    }

private fun unmatchedPartsOf(route: Route): List<Finding> {
    val isRooted = route.prefix.isEmpty() || route.prefix.startsWith("/")
    val prefix = "the prefix does not begin with a slash, as each path does"
    return listOfNotNull(neverMatches(pathOf(route), prefix).takeIf { !isRooted }) +
        unmatchedShares(route)
}

/** If no share has a weight, the first service gets all requests. */
private fun unmatchedShares(route: Route): List<Finding> {
    val hasWeights = route.trafficSplit.any { it.weight > 0 }
    return route.trafficSplit.filterIndexed { index, share ->
        share.weight <= 0 && (hasWeights || index > 0)
    }.map { neverMatches(pathOf(route), "service ${it.service} has no weight") }
}

private fun unusedServices(table: RoutingTable): List<Finding> {
    val named = table.routes.flatMap { it.trafficSplit }.map { it.service }.toSet()
    return (table.services.keys - named).map { neverMatches("service $it", "no route names it") }
}

private fun organisationsWithoutKeys(table: RoutingTable): List<Finding> =
    table.organisations.orEmpty().filter { it.keyDigests.isEmpty() }
        .map { neverMatches(pathOf(it), "it has no key") }

/** A key that several organisations list belongs to the last of them. */
private fun sharedKeys(table: RoutingTable): List<Finding> {
    val organisations = table.organisations.orEmpty()
    val owners = organisations.flatMap { entry -> entry.keyDigests.map { it to entry } }.toMap()
    return organisations.mapNotNull { entry ->
        val taken = entry.keyDigests.map(owners::getValue).filter { it !== entry }
        val names = taken.map { it.organisation }.distinct().joinToString()
        val detail = "${taken.size} of its ${entry.keyDigests.size} keys belong to $names"
        neverMatches(pathOf(entry), detail).takeIf { taken.isNotEmpty() }
    }
}

private fun routesWithoutCallers(table: RoutingTable): List<Finding> {
    val organisations = table.organisations ?: return emptyList()
    if (organisations.any { it.keyDigests.isNotEmpty() }) return emptyList()
    return table.routes.filterNot { it.public }
        .map { neverMatches(pathOf(it), "it needs a key, and no organisation has one") }
}

private fun pathOf(entry: OrganisationKeys) = "organisation ${entry.organisation}"

private fun neverMatches(path: String, detail: String) =
    Finding(FindingKind.NEVER_MATCHES, path, detail)
