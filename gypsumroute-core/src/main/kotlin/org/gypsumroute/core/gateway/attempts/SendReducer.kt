/*
 * Builds the input of placements and sends requests to the chosen endpoints.
 */
package org.gypsumroute.core.gateway.attempts

import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import org.gypsumroute.api.AttemptId
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardTarget
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.HelperTarget
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Step
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.countRetry
import org.gypsumroute.core.gateway.endpoints.AS_EXPECTED
import org.gypsumroute.core.gateway.endpoints.EndpointState
import org.gypsumroute.core.gateway.endpoints.EndpointWork
import org.gypsumroute.core.gateway.endpoints.expectedTimes
import org.gypsumroute.core.gateway.endpoints.mayReceive
import org.gypsumroute.core.gateway.endpoints.servicePaces
import org.gypsumroute.core.gateway.exchange.gatewayCount
import org.gypsumroute.core.gateway.exchange.mayKnowAllMembers
import org.gypsumroute.core.gateway.exchange.minReportInterval
import org.gypsumroute.core.gateway.exchange.recentPeerReports
import org.gypsumroute.core.gateway.placement.EngineModel
import org.gypsumroute.core.gateway.placement.ForwardCandidate
import org.gypsumroute.core.gateway.placement.ForwardChoice
import org.gypsumroute.core.gateway.placement.ForwardPlacementInput
import org.gypsumroute.core.gateway.placement.toSeconds
import org.gypsumroute.core.gateway.shares.sharesAfterSend
import org.gypsumroute.core.gateway.timeUntilStop
import org.gypsumroute.core.logEffect

/** The input of a placement for this request, with the loads of all gateways. */
internal fun placementInputFor(state: GatewayState, record: ForwardRecord): ForwardPlacementInput {
    val now = state.common.now
    val others = recentPeerReports(state)
    val allowed = state.endpoints.values.filter { mayReceive(state, record, it) }
    // If all endpoints are suspended as unreachable, trying one is better than refusing.
    val reachable = allowed.filter { it.health.suspendedUntil <= now }.ifEmpty { allowed }
    val paces = reachable.firstOrNull()?.let { servicePaces(state, it) }
    return ForwardPlacementInput(
        candidates = reachable.map { endpoint ->
            val load = knownLoad(endpoint, others)
            val unseen = endpoint.unseenLoad.requestsAt(now)
            ForwardCandidate(
                endpoint.record,
                load.copy(openRequests = load.openRequests + unseen),
                endpoint.backlogUnder(load, now),
                endpoint.health.failureRate(now),
                paces?.of(endpoint) ?: AS_EXPECTED
            )
        },
        profile = state.published.table?.services?.get(record.service)?.engine,
        size = record.size,
        objective = record.arrivedAt + record.route.objective - now,
        remaining = record.deadline - now,
        gapObjective = record.gapObjective,
        ownDataCentre = state.common.node.dataCentre,
        unreportedRequests = unreportedRequests(state, record.service),
        entropy = state.common.entropy
    )
}

/**
 * Requests for a service that all gateways are expected to place within the interval of reports,
 * if each of them receives as many as this one. A gateway that just started knows neither its rate
 * nor the others, which may all have started with it.
 */
private fun unreportedRequests(state: GatewayState, service: ServiceId): Int {
    if (!mayKnowAllMembers(state)) return MAX_UNREPORTED_REQUESTS
    val gateways = state.gatewayCount
    val rate = state.retryBudgets[service]?.requestRate(state.common.now) ?: 0.0
    return (rate * gateways * minReportInterval(gateways).toSeconds())
        .roundToInt()
        .coerceAtMost(MAX_UNREPORTED_REQUESTS)
}

/** The load that this gateway and the reports of others put on an endpoint. */
internal fun knownLoad(endpoint: EndpointState, others: List<GatewayReport>): EngineLoad =
    others.fold(endpoint.ownLoad()) { sum, other ->
        other.loads[endpoint.record.id]?.let { sum + it } ?: sum
    }

/** Sends the request to the chosen endpoint; the attempt's end arrives as an event. */
internal fun send(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice
): Step<GatewayState> {
    val now = state.common.now
    val endpoint = state.endpoints.getValue(choice.endpoint)
    val attempt = Attempt(
        AttemptId(state.nextAttempt),
        choice.endpoint,
        choice.helpers,
        sentAt = now,
        startedAt = endpoint.record.startedAt,
        expectedTimes = expectedTimes(state, record, choice)
    )
    val sent = record.copy(
        attempt = attempt,
        sendCount = record.sendCount + 1,
        triedEndpoints = record.triedEndpoints.add(choice.endpoint)
    )
    val budget = state.retryBudgets[record.service] ?: RetryBudget()
    val next = state.copy(
        requests = state.requests.put(record.request, sent),
        endpoints = endpointsWithWork(state, record, choice),
        retryBudgets = if (record.sendCount == 0) {
            state.retryBudgets
        } else {
            state.retryBudgets.put(record.service, budget.withRetry(now, state.bounds.retryWindow))
        },
        shares = sharesAfterSend(state, record),
        nextAttempt = state.nextAttempt + 1
    )
    val target = targetFor(state, sent, endpoint, choice)
    return Step(
        next,
        listOfNotNull(
            routedLog(state, sent, endpoint, choice),
            countRetry(record).takeIf { record.sendCount > 0 },
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
    "attempt" to record.sendCount,
    "route" to record.route.name,
    "version" to state.published.table?.version,
    "era" to state.published.position.era,
    "revision" to state.published.position.revision,
    "records_age" to state.published.reads.silenceAt(state.common.now),
    "endpoint" to choice.endpoint,
    "endpoint_start" to endpoint.record.startedAt?.milliseconds,
    "address" to endpoint.record.address,
    "helpers" to choice.helpers.joinToString(" "),
    "read_time" to choice.prefillTime,
    "open" to endpoint.work.size,
    "expected_first_event" to choice.predictedFirstByte,
    "expected_time" to predictedTime(state, record, choice),
    "remaining" to (record.deadline - state.common.now),
    "stop_in" to timeUntilStop(state)
)

/** Predicted time until the end of the answer; no decision depends on it. */
private fun predictedTime(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice
): Duration {
    val profile = state.published.table?.services?.get(record.service)?.engine
        ?: return record.route.objective
    val model = EngineModel(profile)
    val load = state.endpoints[choice.endpoint]?.ownLoad()?.context ?: 0
    val pass = model.passTime(model.slots, load + record.size.context)
    return choice.predictedFirstByte + model.decodeTime(Tokens(record.size.output), pass)
}

/** Adds the request's work to the endpoint and its helpers. */
private fun endpointsWithWork(
    state: GatewayState,
    record: ForwardRecord,
    choice: ForwardChoice
): PersistentMap<EndpointId, EndpointState> {
    val now = state.common.now
    val work = EndpointWork(
        prefillTime = choice.prefillTime,
        context = record.size.context,
        objective = record.route.objective,
        gapObjective = record.gapObjective,
        value = record.size.value
    )
    var endpoints = state.endpoints
    for (id in choice.helpers) {
        val helper = endpoints[id] ?: continue
        val reserved = choice.reservations[id]?.count ?: 0
        val part = work.copy(context = reserved, isHelper = true)
        endpoints = endpoints.put(id, helper.withWork(record.request, part, now))
    }
    val endpoint = endpoints.getValue(choice.endpoint)
    return endpoints.put(
        choice.endpoint,
        endpoint.withWork(record.request, work, now)
            .copy(recentSends = endpoint.recentSends.plusSend(now))
    )
}

private fun targetFor(
    state: GatewayState,
    record: ForwardRecord,
    endpoint: EndpointState,
    choice: ForwardChoice
): ForwardTarget {
    val remaining = record.deadline - state.common.now
    return ForwardTarget(
        endpoint = endpoint.record.id,
        address = endpoint.record.address,
        startedAt = endpoint.record.startedAt,
        organisation = record.organisation,
        remaining = remaining,
        priority = if (record.route.streaming) enginePriority(record) else null,
        helpers = choice.helpers.mapNotNull { id ->
            val reservation = record.reservations.entries.find { it.value.endpoint == id }
            state.endpoints[id]?.let { HelperTarget(it.record.address, reservation?.key) }
        },
        streaming = record.route.streaming,
        repetition = record.route.repetition,
        firstByteLimit = firstByteLimit(record, choice),
        gapLimit = gapLimit(record)
    )
}

/** Wait for a first byte that points to a fault of the endpoint rather than to its load. */
private fun firstByteLimit(record: ForwardRecord, choice: ForwardChoice): Duration = maxOf(
    record.route.objective * FIRST_BYTE_LIMIT_FACTOR,
    choice.predictedFirstByte * FIRST_BYTE_LIMIT_FACTOR,
    MIN_FIRST_BYTE_LIMIT
)

/** Pause in a stream that points to a fault of the endpoint rather than to its load. */
private fun gapLimit(record: ForwardRecord): Duration =
    (record.gapObjective * GAP_LIMIT_FACTOR).coerceIn(MIN_GAP_LIMIT, MAX_GAP_LIMIT)

/** The engine admits lower numbers first: urgent requests, then those with a short objective. */
private fun enginePriority(record: ForwardRecord): Int {
    val objectiveRank = if (record.route.objective <= URGENT_OBJECTIVE) 0 else 1
    return (record.priority * 2 + objectiveRank).coerceIn(0, LEAST_URGENT_PRIORITY)
}

/** More than the engines of any deployment. */
private const val MAX_UNREPORTED_REQUESTS = 1_000_000
private const val FIRST_BYTE_LIMIT_FACTOR = 2.5
private const val GAP_LIMIT_FACTOR = 7
private const val LEAST_URGENT_PRIORITY = 9
private val MIN_FIRST_BYTE_LIMIT: Duration = 150.milliseconds
private val MIN_GAP_LIMIT: Duration = 1200.milliseconds
private val MAX_GAP_LIMIT: Duration = 4.seconds
private val URGENT_OBJECTIVE: Duration = 500.milliseconds
