/*
 * Sending a request to the endpoint that the placement chose.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import org.gypsumroute.api.AttemptId
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardTarget
import org.gypsumroute.api.HelperTarget
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step

/** The placement's question for a request, with the loads of all gateways. */
internal fun questionFor(state: GatewayState, record: ForwardRecord): ForwardQuestion {
    val now = state.common.now
    val others = loadsOfOthers(state)
    return ForwardQuestion(
        candidates = state.endpoints.values.filter { mayTake(state, record, it) }.map { endpoint ->
            val load = others.fold(endpoint.load(now)) { sum, other ->
                other.loadAt(endpoint.record.id)?.let { sum + it } ?: sum
            }
            ForwardCandidate(endpoint.record, load, endpoint.health.failureShare(now))
        },
        figures = state.published.table?.services?.get(record.service)?.engine,
        size = record.size,
        objective = record.arrivedAt + record.route.objective - now,
        remaining = record.deadline - now,
        gap = record.gap,
        ownDataCentre = state.common.node.dataCentre,
        entropy = state.common.entropy
    )
}

private fun mayTake(state: GatewayState, record: ForwardRecord, endpoint: EndpointState): Boolean =
    endpoint.record.service == record.service && !endpoint.record.leaving &&
        !endpoint.misdirected && endpoint.record.dataCentre !in state.published.dataCentresOut &&
        endpoint.record.id !in record.tried && mayTakeCold(state, endpoint)

/** Each gateway takes an equal share of what all may send to a cold endpoint. */
private fun mayTakeCold(state: GatewayState, endpoint: EndpointState): Boolean {
    val now = state.common.now
    if (now >= endpoint.coldUntil) return true
    val rate = state.published.table?.services?.get(endpoint.record.service)?.coldRate ?: 0.0
    return rate == 0.0 || endpoint.coldSends.allows(now, rate / state.gateways)
}

/** Sends the request; the attempt's end arrives as an event. */
internal fun send(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice
): Step<GatewayState> {
    val now = state.common.now
    val endpoint = state.endpoints.getValue(choice.endpoint)
    val attempt = Attempt(AttemptId(state.nextAttempt), choice.endpoint, choice.helpers, now)
    val sent = record.copy(
        attempt = attempt,
        sends = record.sends + 1,
        tried = record.tried.add(choice.endpoint)
    )
    val budget = state.retryBudgets[record.service] ?: RetryBudget()
    return state.copy(
        requests = state.requests.put(record.request, sent),
        endpoints = withWork(state, record, choice),
        retryBudgets = if (record.sends == 0) {
            state.retryBudgets
        } else {
            state.retryBudgets.put(record.service, budget.withRepeat(now))
        },
        nextAttempt = state.nextAttempt + 1
    ).step(
        logEffect(
            LogEvent.REQUEST_ROUTED,
            "request" to record.head.callerId,
            "attempt" to sent.sends,
            "route" to record.route.name,
            "version" to state.published.table?.version,
            "revision" to state.published.revision,
            "records_age" to (now - state.published.lastRead),
            "endpoint" to choice.endpoint,
            "address" to endpoint.record.address,
            "helpers" to choice.helpers.size,
            "open" to endpoint.work.size,
            "expected_first_event" to choice.firstByte,
            "remaining" to (record.deadline - now)
        ),
        ForwardEffect.Send(record.request, attempt.id, targetFor(state, sent, endpoint, choice))
    )
}

/** Notes the work at the endpoint and its helpers. */
private fun withWork(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice
): PersistentMap<EndpointId, EndpointState> {
    val now = state.common.now
    val work =
        EndpointWork(now, choice.readTime, record.size.context, record.gap, record.size.value)
    var endpoints = state.endpoints
    for (id in choice.helpers) {
        val helper = endpoints[id] ?: continue
        val held = choice.reservations[id]?.count ?: 0
        val part = work.copy(context = held, helping = true)
        endpoints = endpoints.put(id, helper.copy(work = helper.work.put(record.request, part)))
    }
    val endpoint = endpoints.getValue(choice.endpoint)
    return endpoints.put(
        choice.endpoint,
        endpoint.copy(
            work = endpoint.work.put(record.request, work),
            coldSends = endpoint.coldSends.with(now)
        )
    )
}

private fun targetFor(
    state: GatewayState,
    record: ForwardRecord,
    endpoint: EndpointState,
    choice: ForwardChoice
): ForwardTarget {
    val remaining = record.deadline - state.common.now
    val movable = mayMove(state, record)
    return ForwardTarget(
        endpoint = endpoint.record.id,
        address = endpoint.record.address,
        organisation = record.organisation,
        remaining = remaining,
        priority = if (record.route.streaming) priorityOf(record) else null,
        helpers = choice.helpers.mapNotNull { id ->
            val reservation = record.reservations.entries.find { it.value.endpoint == id }
            state.endpoints[id]?.let { HelperTarget(it.record.address, reservation?.key) }
        },
        streaming = record.route.streaming,
        repetition = record.route.repetition,
        firstByteLimit = if (movable) firstByteLimit(record, choice) else remaining,
        gapLimit = if (movable) gapLimit(record) else remaining
    )
}

/** Whether the request may go on elsewhere if this attempt falls silent. */
private fun mayMove(state: GatewayState, record: ForwardRecord): Boolean =
    record.route.repetition != Repetition.AT_MOST_ONCE && record.sends < record.route.attempts &&
        budgetAllows(state, record)

/** Silence that says more about the endpoint than about its load. */
private fun firstByteLimit(record: ForwardRecord, choice: ForwardChoice): Duration =
    maxOf(record.route.objective * LATE_FACTOR, choice.firstByte * LATE_FACTOR, SHORTEST_LIMIT)

private fun gapLimit(record: ForwardRecord): Duration =
    if (record.gap.isFinite()) maxOf(record.gap * GAP_FACTOR, SHORTEST_GAP_LIMIT) else LONGEST_GAP

/** More urgent requests, and among equals those that must answer sooner, are admitted first. */
private fun priorityOf(record: ForwardRecord): Int {
    val soon = if (record.route.objective <= SOON) 0 else 1
    return (record.urgency * 2 + soon).coerceIn(0, LOWEST_PRIORITY)
}

private const val LATE_FACTOR = 2.5
private const val GAP_FACTOR = 4
private const val LOWEST_PRIORITY = 9
private val SHORTEST_LIMIT: Duration = 150.milliseconds
private val SHORTEST_GAP_LIMIT: Duration = 800.milliseconds
private val LONGEST_GAP: Duration = 3.seconds
private val SOON: Duration = 500.milliseconds
