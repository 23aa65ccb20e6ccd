/*
 * Limits of a routing table of which one makes another one pointless.
 */
package org.gypsumroute.core.gateway.check

import org.gypsumroute.api.CallerLimits
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.Route
import org.gypsumroute.api.RoutingTable

internal fun contradictions(table: RoutingTable): List<Finding> = repeatedNames(table) +
    table.routes.flatMap { contradictionsOf(it, table) } + contradictionsOf(table.limits)

private fun repeatedNames(table: RoutingTable): List<Finding> =
    table.routes.groupBy { it.name }.filterValues { it.size > 1 }.map { (_, same) ->
        contradiction(same.first(), "${same.size} routes have this name")
    }

private fun contradictionsOf(route: Route, table: RoutingTable): List<Finding> = listOfNotNull(
    contradiction(route, "timeout ${route.timeout} is shorter than objective ${route.objective}")
        .takeIf { route.timeout < route.objective },
    pauseContradiction(route),
    attemptsContradiction(route),
    contradiction(
        route,
        "timeout ${route.timeout} is longer than the idle timeout ${table.limits.idleTimeout}"
    ).takeIf { route.timeout > table.limits.idleTimeout }
) + unlistedServices(route, table)

private fun pauseContradiction(route: Route): Finding? {
    val pause = route.gapObjective ?: return null
    return when {
        !route.streaming ->
            contradiction(route, "objective for pauses, but its answers are not streams")

        route.objective < pause ->
            contradiction(route, "objective ${route.objective} is shorter than pause $pause")

        else -> null
    }
}

private fun attemptsContradiction(route: Route): Finding? {
    val detail = "${route.maxAttempts} attempts, but its requests may run only once"
    return contradiction(route, detail)
        .takeIf { route.repetition == Repetition.AT_MOST_ONCE && route.maxAttempts > 1 }
}

/** Endpoints of such a service are chosen as those of plain services are. */
private fun unlistedServices(route: Route, table: RoutingTable): List<Finding> =
    route.trafficSplit.filter { it.service !in table.services }
        .map { contradiction(route, "service ${it.service} is not among the services") }

private fun contradictionsOf(limits: CallerLimits): List<Finding> {
    val detail =
        "header timeout ${limits.headerTimeout} is longer than the idle timeout " +
            "${limits.idleTimeout}"
    return listOf(Finding(FindingKind.CONTRADICTION, "limits", detail))
        .filter { limits.headerTimeout > limits.idleTimeout }
}

private fun contradiction(route: Route, detail: String) =
    Finding(FindingKind.CONTRADICTION, pathOf(route), detail)
