/*
 * Arrival of forwarded requests: finds the route, organisation, service and deadline.
 */
package org.gypsumroute.core.gateway.attempts

import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.OrganisationKeys
import org.gypsumroute.api.RetryAdvice
import org.gypsumroute.api.Route
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.admission.admit
import org.gypsumroute.core.gateway.countRefusal
import org.gypsumroute.core.gateway.crashes.endBlocked
import org.gypsumroute.core.gateway.crashes.findBlockedPart
import org.gypsumroute.core.gateway.placement.RequestSize
import org.gypsumroute.core.gateway.refusesNew
import org.gypsumroute.core.gateway.shares.sharesAfterArrival
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.unitInterval

internal fun reduceArrived(state: GatewayState, event: ForwardEvent.Arrived): Step<GatewayState> {
    val head = event.head
    val routes = state.published.routes
    val table = state.published.table
    val route = routes.find(head.hostName, head.path)
    val organisation = head.keyDigest?.let { routes.organisation(it) }
    return when {
        refusesNew(state) -> refuse(state, event, ErrorKind.DRAINING, "the gateway stops")

        // Without a routing table, valid routes and keys cannot be told from invalid ones.
        table == null -> refuse(state, event, ErrorKind.NOT_READY, "no routing table")

        route == null ->
            refuse(state, event, ErrorKind.ROUTE_UNKNOWN, "no route matches host and path")

        !route.public && table.organisations != null && organisation == null ->
            refuse(state, event, ErrorKind.CREDENTIALS_INVALID, "the key is not known")

        else -> accept(state, recordOf(state, event, route, organisation))
    }
}

private fun accept(state: GatewayState, record: ForwardRecord): Step<GatewayState> {
    val budget = state.retryBudgets[record.service] ?: RetryBudget()
    val now = state.common.now
    val counted = budget.withRequest(now, state.bounds.retryWindow)
    val accepted = state.copy(
        requests = state.requests.put(record.request, record),
        retryBudgets = state.retryBudgets.put(record.service, counted),
        shares = sharesAfterArrival(state, record)
    )
    val deadline =
        RuntimeEffect.SetTimer(TimerId.ForwardDeadline(record.request), record.deadline - now)
    return accepted.step(deadline).then { next ->
        val blocked = findBlockedPart(next, record)
        if (blocked != null) return@then endBlocked(next, record, blocked)
        val input = placementInputFor(next, record)
        val choice = next.policies.placement(input)
        when {
            choice == null ->
                endWithError(
                    next,
                    record,
                    ErrorKind.NO_ENDPOINT,
                    "no endpoint may take the request"
                )

            else -> admit(next, record, input, choice)
        }
    }
}

private fun recordOf(
    state: GatewayState,
    event: ForwardEvent.Arrived,
    route: Route,
    organisation: OrganisationKeys?
): ForwardRecord {
    val now = state.common.now
    val service = chooseService(route, state.common.entropy)
    return ForwardRecord(
        request = event.request,
        head = event.head,
        route = route,
        service = service,
        organisation = organisation?.organisation,
        priority = organisation?.priority ?: route.priority,
        size = RequestSize.of(event.head, typicalOutput(state, service)),
        arrivedAt = now,
        deadline = now + minOf(event.head.timeout ?: route.timeout, route.timeout)
    )
}

private fun typicalOutput(state: GatewayState, service: ServiceId): Long =
    state.published.table?.services?.get(service)?.engine?.typicalOutput?.count ?: 0

/** Chooses one of the route's services at random, in proportion to their weights. */
internal fun chooseService(route: Route, entropy: Long): ServiceId {
    val total = route.trafficSplit.sumOf { it.weight }
    var remainder = total * unitInterval(entropy)
    for (share in route.trafficSplit) {
        remainder -= share.weight
        if (remainder < 0) return share.service
    }
    return route.trafficSplit.first().service
}

private fun refuse(
    state: GatewayState,
    event: ForwardEvent.Arrived,
    kind: ErrorKind,
    detail: String
): Step<GatewayState> {
    val retryAfter = retryAfter(state).takeIf { kind.retry == RetryAdvice.LATER }
    return state.step(
        logEffect(
            LogEvent.REQUEST_REFUSED,
            "request" to event.head.callerRequestId,
            "kind" to kind.code,
            "detail" to detail,
            "host_name" to event.head.hostName,
            "version" to state.published.table?.version
        ),
        ForwardEffect.Refuse(event.request, Failure(kind, detail, retryAfter = retryAfter)),
        countRefusal(kind.code)
    )
}
