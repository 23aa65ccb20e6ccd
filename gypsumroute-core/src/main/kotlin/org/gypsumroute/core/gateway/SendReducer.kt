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

/** The placement's question for a request, with the loads of all gateways. */
internal fun questionFor(state: GatewayState, record: ForwardRecord): ForwardQuestion {
    val now = state.common.now
    val others = loadsOfOthers(state)
    val allowed = state.endpoints.values.filter { mayTake(state, record, it) }
    // Where no endpoint could be reached lately, trying one is better than refusing.
    val reachable = allowed.filter { it.health.suspendedUntil <= now }.ifEmpty { allowed }
    return ForwardQuestion(
        candidates = reachable.map { endpoint ->
            val load = others.fold(endpoint.load()) { sum, other ->
                other.loads[endpoint.record.id]?.let { sum + it } ?: sum
            }
            ForwardCandidate(
                endpoint.record,
                load,
                endpoint.backlog.later(now).within(load.pendingPrefill),
                endpoint.health.failureShare(now)
            )
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
    isOffered(state, record, endpoint) && endpoint.record.id !in record.tried &&
        mayTakeCold(state, endpoint)

/** Whether operators and the endpoint itself still want it to get such requests. */
private fun isOffered(
    state: GatewayState,
    record: ForwardRecord,
    endpoint: EndpointState
): Boolean = endpoint.record.service == record.service && !endpoint.record.leaving &&
    !endpoint.misdirected && endpoint.record.dataCentre !in state.published.dataCentresOut

/** Whether an earlier choice still stands: records may have changed since it was made. */
internal fun stands(state: GatewayState, record: ForwardRecord, choice: ForwardChoice): Boolean =
    (choice.helpers + choice.endpoint).all { id ->
        state.endpoints[id]?.let { isOffered(state, record, it) } == true
    }

/** Each gateway takes an equal share of what all may send to a cold endpoint. */
private fun mayTakeCold(state: GatewayState, endpoint: EndpointState): Boolean {
    val now = state.common.now
    if (now >= endpoint.coldUntil) return true
    val rate =
        state.published.table?.services?.get(endpoint.record.service)?.coldRequestsPerSecond ?: 0.0
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
    val attempt = Attempt(AttemptId(state.nextAttempt), choice.endpoint, choice.helpers)
    val sent = record.copy(
        attempt = attempt,
        sends = record.sends + 1,
        tried = record.tried.add(choice.endpoint)
    )
    val budget = state.retryBudgets[record.service] ?: RetryBudget()
    val next = state.copy(
        requests = state.requests.put(record.request, sent),
        endpoints = withWork(state, record, choice),
        retryBudgets = if (record.sends == 0) {
            state.retryBudgets
        } else {
            state.retryBudgets.put(record.service, budget.withRepeat(now))
        },
        nextAttempt = state.nextAttempt + 1
    )
    val target = targetFor(state, sent, endpoint, choice)
    return Step(
        next,
        listOfNotNull(
            routedLog(state, sent, endpoint, choice),
            countRepeat(record).takeIf { record.sends > 0 },
            ForwardEffect.Send(record.request, attempt.id, target)
        )
    )
}

private fun routedLog(
    state: GatewayState,
    record: ForwardRecord,
    endpoint: EndpointState,
    choice: ForwardChoice
) = logEffect(
    LogEvent.REQUEST_ROUTED,
    "request" to record.head.callerRequestId,
    "attempt" to record.sends,
    "route" to record.route.name,
    "version" to state.published.table?.version,
    "revision" to state.published.revision,
    "records_age" to (state.common.now - state.published.lastRead),
    "endpoint" to choice.endpoint,
    "address" to endpoint.record.address,
    "helpers" to choice.helpers.joinToString(" "),
    "read_time" to choice.readTime,
    "open" to endpoint.work.size,
    "expected_first_event" to choice.firstByte,
    "remaining" to (record.deadline - state.common.now)
)

/** Notes the work at the endpoint and its helpers. */
private fun withWork(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice
): PersistentMap<EndpointId, EndpointState> {
    val now = state.common.now
    val work = EndpointWork(
        readTime = choice.readTime,
        context = record.size.context,
        objective = record.route.objective,
        gap = record.gap,
        value = record.size.value
    )
    var endpoints = state.endpoints
    for (id in choice.helpers) {
        val helper = endpoints[id] ?: continue
        val held = choice.reservations[id]?.count ?: 0
        val part = work.copy(context = held, helping = true)
        endpoints = endpoints.put(id, helper.withWork(record.request, part, now))
    }
    val endpoint = endpoints.getValue(choice.endpoint)
    return endpoints.put(
        choice.endpoint,
        endpoint.withWork(record.request, work, now)
            .copy(coldSends = endpoint.coldSends.with(now))
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
    record.route.repetition != Repetition.AT_MOST_ONCE && record.sends < record.route.maxAttempts &&
        budgetAllows(state, record)

/** Silence that says more about the endpoint than about its load. */
private fun firstByteLimit(record: ForwardRecord, choice: ForwardChoice): Duration =
    maxOf(record.route.objective * LATE_FACTOR, choice.firstByte * LATE_FACTOR, SHORTEST_LIMIT)

private fun gapLimit(record: ForwardRecord): Duration =
    (record.gap * GAP_FACTOR).coerceIn(SHORTEST_GAP_LIMIT, LONGEST_GAP)

/** More urgent requests, and among equals those that must answer sooner, are admitted first. */
private fun priorityOf(record: ForwardRecord): Int {
    val soon = if (record.route.objective <= SOON) 0 else 1
    return (record.urgency * 2 + soon).coerceIn(0, LOWEST_PRIORITY)
}

private const val LATE_FACTOR = 2.5
private const val GAP_FACTOR = 7
private const val LOWEST_PRIORITY = 9
private val SHORTEST_LIMIT: Duration = 150.milliseconds
private val SHORTEST_GAP_LIMIT: Duration = 1200.milliseconds
private val LONGEST_GAP: Duration = 4.seconds
private val SOON: Duration = 500.milliseconds
