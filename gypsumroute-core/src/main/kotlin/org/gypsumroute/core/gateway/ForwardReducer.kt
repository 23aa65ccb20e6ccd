/*
 * Forwarded requests from arrival to end.
 *
 * A request is sent to one endpoint at a time. It goes to another one only if no endpoint can have
 * run it, or if its work may run again; streams then go on after the last event passed on.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import org.gypsumroute.api.AttemptId
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.ForwardTarget
import org.gypsumroute.api.HelperTarget
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.OrganisationKeys
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Route
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.mixBits
import org.gypsumroute.core.step
import org.gypsumroute.core.then

internal fun reduceForward(state: GatewayState, event: ForwardEvent): Step<GatewayState> =
    when (event) {
        is ForwardEvent.Arrived -> reduceArrived(state, event)

        is ForwardEvent.Rejected -> state.step(
            logEffect(
                LogEvent.REQUEST_REFUSED,
                "kind" to event.failure.kind.code,
                "detail" to event.failure.detail
            )
        )

        is ForwardEvent.CallerLeft -> reduceCallerLeft(state, event.request)

        is ForwardEvent.StreamBegun -> reduceStreamBegun(state, event)

        is ForwardEvent.AttemptEnded -> reduceAttemptEnded(state, event)
    }

private fun reduceArrived(state: GatewayState, event: ForwardEvent.Arrived): Step<GatewayState> {
    val head = event.head
    val published = state.published
    if (published.table ==
        null
    ) {
        return refuse(state, event, ErrorKind.NOT_READY, "no routing table")
    }
    val route = published.routes.find(head.hostName, head.path)
        ?: return refuse(state, event, ErrorKind.ROUTE_UNKNOWN, "no route matches host and path")
    val keyed = !route.public && published.table.organisations != null
    val organisation = head.keyDigest?.let { published.routes.organisation(it) }
    if (keyed && organisation == null) {
        return refuse(state, event, ErrorKind.CREDENTIALS_INVALID, "the key is not known")
    }
    val record = openRecord(state, event, route, organisation)
    val budget = state.retryBudgets[record.service] ?: RetryBudget()
    val opened = state.copy(
        requests = state.requests.put(event.request, record),
        retryBudgets =
            state.retryBudgets.put(record.service, budget.withRequest(state.common.now))
    )
    val deadline = RuntimeEffect.SetTimer(
        TimerId.ForwardDeadline(event.request),
        record.deadline - record.arrivedAt
    )
    return opened.step(deadline).then { sendOrEnd(it, record, "no endpoint may take it") }
}

private fun openRecord(
    state: GatewayState,
    event: ForwardEvent.Arrived,
    route: Route,
    organisation: OrganisationKeys?
): ForwardRecord {
    val now = state.common.now
    val wait = minOf(event.head.deadline ?: route.timeout, route.timeout)
    val service = chooseService(route, state.common.entropy)
    return ForwardRecord(
        request = event.request,
        head = event.head,
        route = route,
        service = service,
        organisation = organisation?.organisation,
        urgency = organisation?.priority ?: route.priority,
        size = RequestSize.of(event.head, usualOutput(state, service)),
        arrivedAt = now,
        deadline = now + wait
    )
}

private fun usualOutput(state: GatewayState, service: ServiceId): Long =
    state.published.table?.services?.get(service)?.engine?.usualAnswer?.count ?: 0

/** Picks a service in proportion to the weights. */
internal fun chooseService(route: Route, entropy: Long): ServiceId {
    val total = route.shares.sumOf { it.weight }
    var rest = Math.floorMod(mixBits(entropy), total.coerceAtLeast(1).toLong())
    for (share in route.shares) {
        rest -= share.weight
        if (rest < 0) return share.service
    }
    return route.shares.first().service
}

private fun refuse(
    state: GatewayState,
    event: ForwardEvent.Arrived,
    kind: ErrorKind,
    detail: String
): Step<GatewayState> = state.step(
    logEffect(
        LogEvent.REQUEST_REFUSED,
        "request" to event.head.callerId,
        "kind" to kind.code,
        "detail" to detail,
        "version" to state.published.table?.version
    ),
    ForwardEffect.Refuse(
        event.request,
        Failure(kind, detail, retryAfter = if (kind == ErrorKind.NOT_READY) RETRY_AFTER else null)
    )
)

/** Sends the request to an endpoint, or ends it if none may take it. */
private fun sendOrEnd(
    state: GatewayState,
    record: ForwardRecord,
    cause: String
): Step<GatewayState> {
    val choice = state.policies.placement(questionFor(state, record))
        ?: return endWithError(state, record, ErrorKind.NO_ENDPOINT, cause)
    return send(state, record, choice)
}

private fun questionFor(state: GatewayState, record: ForwardRecord): ForwardQuestion {
    val now = state.common.now
    val others = loadsOfOthers(state)
    return ForwardQuestion(
        candidates = state.endpoints.values.filter { mayTake(state, record, it) }.map { endpoint ->
            val load = others.fold(endpoint.load(now)) { sum, (age, report) ->
                report.loads[endpoint.record.id]?.let { sum + it.after(age) } ?: sum
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
        endpoint.record.dataCentre !in state.published.dataCentresOut &&
        endpoint.record.id !in record.tried && mayTakeCold(state, endpoint)

/** Each gateway takes an equal share of what all may send to a cold endpoint in a second. */
private fun mayTakeCold(state: GatewayState, endpoint: EndpointState): Boolean {
    val now = state.common.now
    if (now >= endpoint.coldUntil) return true
    val rate = state.published.table?.services?.get(endpoint.record.service)?.coldRate ?: 0.0
    return rate == 0.0 || endpoint.coldSends.count(now) + 1 <= rate / state.gateways
}

private fun send(
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
    val budgets = if (record.sends == 0) {
        state.retryBudgets
    } else {
        val budget = state.retryBudgets[record.service] ?: RetryBudget()
        state.retryBudgets.put(record.service, budget.withRepeat(now))
    }
    val endpoints = withWork(state, record, choice)
    return state.copy(
        requests = state.requests.put(record.request, sent),
        endpoints = endpoints,
        retryBudgets = budgets,
        nextAttempt = state.nextAttempt + 1
    ).step(
        logEffect(
            LogEvent.REQUEST_ROUTED,
            "request" to record.head.callerId,
            "attempt" to sent.sends,
            "route" to record.route.name,
            "version" to state.published.table?.version,
            "endpoint" to choice.endpoint,
            "address" to endpoint.record.address,
            "helpers" to choice.helpers.size,
            "open" to endpoint.work.size,
            "first_byte" to choice.firstByte,
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
    for (id in choice.helpers + choice.endpoint) {
        val endpoint = endpoints[id] ?: continue
        val part = if (id == choice.endpoint) work else work.copy(context = 0, helping = true)
        val busy = endpoint.copy(
            work = endpoint.work.put(record.request, part),
            coldSends = if (id == choice.endpoint) {
                endpoint.coldSends.with(now)
            } else {
                endpoint.coldSends
            }
        )
        endpoints = endpoints.put(id, busy)
    }
    return endpoints
}

private fun targetFor(
    state: GatewayState,
    record: ForwardRecord,
    endpoint: EndpointState,
    choice: ForwardChoice
) = ForwardTarget(
    endpoint = endpoint.record.id,
    address = endpoint.record.address,
    organisation = record.organisation,
    remaining = record.deadline - state.common.now,
    priority = null,
    helpers = choice.helpers.mapNotNull { id ->
        state.endpoints[id]?.let { HelperTarget(it.record.address) }
    },
    streaming = record.route.streaming,
    repetition = record.route.repetition,
    firstByteLimit = record.deadline - state.common.now,
    gapLimit = GAP_LIMIT
)

private fun reduceStreamBegun(
    state: GatewayState,
    event: ForwardEvent.StreamBegun
): Step<GatewayState> {
    val record = state.requests[event.request] ?: return state.step()
    val attempt = record.attempt?.takeIf { it.id == event.attempt } ?: return state.step()
    var endpoints = state.endpoints
    for (id in attempt.helpers + attempt.endpoint) {
        endpoints[id]?.let { endpoints = endpoints.put(id, it.afterReading(event.request)) }
    }
    val next = record.copy(
        begun = true,
        begunAt = record.begunAt ?: state.common.now,
        mayHaveRun = true
    )
    return state.copy(
        requests = state.requests.put(event.request, next),
        endpoints = endpoints
    ).step()
}

private fun reduceAttemptEnded(
    state: GatewayState,
    event: ForwardEvent.AttemptEnded
): Step<GatewayState> {
    val record = state.requests[event.request] ?: return state.step()
    val attempt = record.attempt?.takeIf { it.id == event.attempt } ?: return state.step()
    val now = state.common.now
    val outcome = event.outcome
    val freed = releaseWork(state, record, attempt).let { next ->
        noteHealth(next, attempt.endpoint, isFailure(outcome))
    }
    val detached = record.copy(
        attempt = null,
        mayHaveRun = record.mayHaveRun || mayHaveRun(outcome),
        begun = record.begun || outcome is AttemptOutcome.Broken
    )
    if (outcome is AttemptOutcome.Completed) {
        return close(freed, detached).step(
            logEffect(
                LogEvent.REQUEST_SERVED,
                "request" to record.head.callerId,
                "endpoint" to attempt.endpoint,
                "status" to outcome.status,
                "attempts" to record.sends,
                "prompt_tokens" to record.size.prompt,
                "first_event" to record.begunAt?.let { it - record.arrivedAt },
                "longest_pause" to outcome.longestPause,
                "took" to (now - record.arrivedAt)
            ),
            RuntimeEffect.CancelTimer(TimerId.ForwardDeadline(record.request))
        )
    }
    return freed.step(attemptLog(detached, attempt.endpoint, outcome))
        .then { afterFailure(it, detached, outcome) }
}

/** Tries once more where that is allowed; otherwise tells the caller. */
private fun afterFailure(
    state: GatewayState,
    record: ForwardRecord,
    outcome: AttemptOutcome
): Step<GatewayState> {
    val unsent = outcome is AttemptOutcome.NeverSent
    val current = if (unsent) record.copy(sends = record.sends - 1) else record
    val choice = if (mayRepeat(state, current)) {
        state.policies.placement(questionFor(state, current))
    } else {
        null
    }
    return when {
        choice != null -> send(state, current, choice)

        outcome is AttemptOutcome.Failed -> close(state, current).step(
            ForwardEffect.RelayFailure(current.request),
            RuntimeEffect.CancelTimer(TimerId.ForwardDeadline(current.request))
        )

        current.mayHaveRun ->
            endWithError(state, current, ErrorKind.ENDPOINT_LOST, causeOf(outcome))

        else -> endWithError(state, current, ErrorKind.ENDPOINT_REFUSED, causeOf(outcome))
    }
}

private fun mayRepeat(state: GatewayState, record: ForwardRecord): Boolean {
    val safe = !record.mayHaveRun || record.route.repetition != Repetition.AT_MOST_ONCE
    val resumable = !record.begun || record.route.repetition == Repetition.RESUMABLE
    val now = state.common.now
    return safe && resumable && record.sends < record.route.attempts &&
        record.deadline - now > SHORTEST_ATTEMPT &&
        (record.sends == 0 || budgetAllows(state, record))
}

private fun budgetAllows(state: GatewayState, record: ForwardRecord): Boolean {
    val bounds = state.bounds
    val budget = state.retryBudgets[record.service] ?: RetryBudget()
    return budget.allows(
        state.common.now,
        bounds.retryWindow,
        bounds.retryRatio,
        bounds.retryAllowance.toDouble() / state.gateways
    )
}

private fun endWithError(
    state: GatewayState,
    record: ForwardRecord,
    kind: ErrorKind,
    detail: String
): Step<GatewayState> {
    val runState = if (record.mayHaveRun) RunState.UNKNOWN else RunState.NOT_RUN
    val failure =
        Failure(kind, detail, runState, RETRY_AFTER.takeIf { runState == RunState.NOT_RUN })
    val effect =
        if (record.begun) {
            ForwardEffect.Cut(record.request)
        } else {
            ForwardEffect.Refuse(record.request, failure)
        }
    return close(state, record).step(
        logEffect(
            if (record.mayHaveRun) LogEvent.REQUEST_FAILED else LogEvent.REQUEST_REFUSED,
            "request" to record.head.callerId,
            "kind" to kind.code,
            "run" to runState.code,
            "detail" to detail,
            "attempts" to record.sends,
            "begun" to record.begun,
            "took" to (state.common.now - record.arrivedAt)
        ),
        effect,
        RuntimeEffect.CancelTimer(TimerId.ForwardDeadline(record.request))
    )
}

private fun reduceCallerLeft(state: GatewayState, request: RequestId): Step<GatewayState> {
    val record = state.requests[request] ?: return state.step()
    return abandonAttempt(state, record).then { next ->
        close(next, record.copy(attempt = null)).step(
            logEffect(
                LogEvent.CALLER_LEFT,
                "request" to record.head.callerId,
                "endpoint" to record.attempt?.endpoint,
                "took" to (state.common.now - record.arrivedAt)
            ),
            RuntimeEffect.CancelTimer(TimerId.ForwardDeadline(request))
        )
    }
}

/** Gives up a request whose time is over. */
internal fun reduceForwardDeadline(state: GatewayState, request: RequestId): Step<GatewayState> {
    val record = state.requests[request] ?: return state.step()
    val sent = record.attempt != null
    return abandonAttempt(state, record).then { next ->
        val ended = record.copy(attempt = null, mayHaveRun = record.mayHaveRun || sent)
        endWithError(next, ended, ErrorKind.DEADLINE_EXCEEDED, "the time of the request is over")
    }
}

private fun abandonAttempt(state: GatewayState, record: ForwardRecord): Step<GatewayState> {
    val attempt = record.attempt ?: return state.step()
    return releaseWork(state, record, attempt)
        .step(ForwardEffect.Abandon(record.request, attempt.id))
}

private fun releaseWork(
    state: GatewayState,
    record: ForwardRecord,
    attempt: Attempt
): GatewayState {
    var endpoints = state.endpoints
    for (id in attempt.helpers + attempt.endpoint) {
        val endpoint = endpoints[id] ?: continue
        endpoints = endpoints.put(id, endpoint.copy(work = endpoint.work.remove(record.request)))
    }
    return state.copy(endpoints = endpoints)
}

private fun noteHealth(state: GatewayState, id: EndpointId, failed: Boolean): GatewayState {
    val endpoint = state.endpoints[id] ?: return state
    val health = endpoint.health.after(state.common.now, failed)
    return state.copy(endpoints = state.endpoints.put(id, endpoint.copy(health = health)))
}

private fun close(state: GatewayState, record: ForwardRecord): GatewayState =
    state.copy(requests = state.requests.remove(record.request))

private fun isFailure(outcome: AttemptOutcome): Boolean = when (outcome) {
    is AttemptOutcome.Completed -> false
    is AttemptOutcome.NotRun -> outcome.misdirected
    else -> true
}

private fun mayHaveRun(outcome: AttemptOutcome): Boolean = when (outcome) {
    is AttemptOutcome.NotRun, is AttemptOutcome.NeverSent -> false
    else -> true
}

private fun causeOf(outcome: AttemptOutcome): String = when (outcome) {
    is AttemptOutcome.Completed -> "completed"
    is AttemptOutcome.Failed -> "endpoint answered ${outcome.status}"
    is AttemptOutcome.NotRun -> "endpoint answered ${outcome.status} without running it"
    is AttemptOutcome.NeverSent -> outcome.cause
    is AttemptOutcome.Lost -> outcome.cause
    is AttemptOutcome.Broken -> outcome.cause
}

private fun attemptLog(record: ForwardRecord, endpoint: EndpointId, outcome: AttemptOutcome) =
    logEffect(
        LogEvent.ATTEMPT_FAILED,
        "request" to record.head.callerId,
        "attempt" to record.sends,
        "endpoint" to endpoint,
        "outcome" to outcome.javaClass.simpleName,
        "cause" to causeOf(outcome)
    )

private val RETRY_AFTER: Duration = 500.milliseconds
private val SHORTEST_ATTEMPT: Duration = 20.milliseconds
private val GAP_LIMIT: Duration = 3.seconds
