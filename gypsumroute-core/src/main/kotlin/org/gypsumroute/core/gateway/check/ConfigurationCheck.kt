/*
 * Checks of a routing table before it is published. They are functions of the table alone.
 */
package org.gypsumroute.core.gateway.check

import org.gypsumroute.api.Route
import org.gypsumroute.api.RoutingTable

/** All findings about [table], and its differences from the table [inForce] if there is one. */
fun checkConfiguration(table: RoutingTable, inForce: RoutingTable? = null): List<Finding> =
    versionErrors(table, inForce) + unmatchedEntries(table) + contradictions(table) +
        inForce?.let { differences(it, table) }.orEmpty()

/** Gateways ignore a table whose version is not higher than that of the one in force. */
private fun versionErrors(table: RoutingTable, inForce: RoutingTable?): List<Finding> =
    if (inForce == null || table.version > inForce.version) {
        emptyList()
    } else {
        val detail = "${table.version} is not higher than ${inForce.version}, which is in force"
        listOf(Finding(FindingKind.ERROR, "version", detail))
    }

internal fun pathOf(route: Route): String = "route ${route.name}"
