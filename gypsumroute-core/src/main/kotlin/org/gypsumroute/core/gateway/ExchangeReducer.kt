/*
 * The exchange between gateways: each tells all others its work at endpoints, so that placements
 * count the work of all. Reports are whole, small and may be lost; nothing waits for one.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.ExchangeEffect
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

internal fun reduceExchange(state: GatewayState, event: ExchangeEvent): Step<GatewayState> =
    when (event) {
        is ExchangeEvent.ReportReceived -> reduceReport(state, event.from, event.report)

        is ExchangeEvent.ReportRejected -> state.step(
            logEffect(LogEvent.FRAME_REJECTED, "from" to event.from, "cause" to event.cause),
            RuntimeEffect.Count(Metric.REPORTS_REJECTED, MetricLabels())
        )
    }

private fun reduceReport(
    state: GatewayState,
    from: EndpointAddress,
    report: GatewayReport
): Step<GatewayState> {
    val exchange = state.exchange
    val known = exchange.members[from]
    val outdated = known != null && known.report.incarnation == report.incarnation &&
        known.report.sequence >= report.sequence
    if (from == exchange.own || outdated) return state.step()
    val now = state.common.now
    val named = report.members.filter {
        it != exchange.own && it != from && it !in exchange.members && it !in exchange.candidates
    }
    val before = known?.takeIf { it.report.incarnation == report.incarnation }?.latest
        ?: persistentMapOf()
    val member = Member(report, now, before.putAll(report.loads))
    val next = exchange.copy(
        members = exchange.members.put(from, member),
        candidates = exchange.candidates.remove(from).putAll(named.associateWith { now })
    )
    val changed = state.copy(
        exchange = next,
        endpoints = withReported(state, before, report.loads)
    )
    return if (known != null) {
        askPeer(changed)
    } else {
        changed.step(
            logEffect(
                LogEvent.MEMBER_JOINED,
                "member" to report.host,
                "address" to from,
                "incarnation" to report.incarnation,
                "members" to next.members.size
            )
        ).then { sendReport(it) }.then { askPeer(it) }
    }
}

/** The regular report, which also finds gateways that were not heard yet. */
internal fun reduceReportBeat(state: GatewayState): Step<GatewayState> = dropSilentMembers(state)
    .then { sendReport(it) }
    .then { it.step(RuntimeEffect.SetTimer(TimerId.ReportBeat, BEAT)) }

internal fun reduceReportChange(state: GatewayState): Step<GatewayState> =
    sendReport(state.copy(exchange = state.exchange.copy(changeTimerSet = false)))

/** Reports changed work soon, but not more often than the number of gateways allows. */
internal fun spreadChanges(before: GatewayState, state: GatewayState): Step<GatewayState> {
    val exchange = state.exchange
    val changed = before.endpoints !== state.endpoints
    if (!changed || exchange.members.isEmpty() || exchange.changeTimerSet) return state.step()
    val wait = exchange.lastSent + intervalFor(exchange.members.size) - state.common.now
    return if (wait <= Duration.ZERO) {
        sendReport(state)
    } else {
        state.copy(exchange = exchange.copy(changeTimerSet = true))
            .step(RuntimeEffect.SetTimer(TimerId.ReportChange, wait))
    }
}

/** Adds to the backlogs what another gateway sent since its last report. */
private fun withReported(
    state: GatewayState,
    before: Map<EndpointId, EngineLoad>,
    loads: Map<EndpointId, EngineLoad>
): PersistentMap<EndpointId, EndpointState> {
    var endpoints = state.endpoints
    for ((id, load) in loads) {
        val endpoint = endpoints[id]
        val last = before[id]
        // Nobody knows how much of the work before the first report is done.
        val read = if (last ==
            null
        ) {
            load.pendingPrefill
        } else {
            load.totalPrefillSent - last.totalPrefillSent
        }
        val help = if (last ==
            null
        ) {
            Duration.ZERO
        } else {
            load.totalHelperPrefillSent - last.totalHelperPrefillSent
        }
        if (endpoint != null && (read > Duration.ZERO || help > Duration.ZERO)) {
            val backlog = endpoint.backlog.plus(state.common.now, read, help)
            endpoints = endpoints.put(id, endpoint.copy(backlog = backlog))
        }
    }
    return endpoints
}

/** The reports of other gateways that are fresh enough to count. */
internal fun loadsOfOthers(state: GatewayState): List<GatewayReport> = state.exchange.members.values
    .filter { state.common.now - it.heardAt < LOAD_VALID }
    .map { it.report }

/** The gateways that share the limits of the deployment, this one included. */
internal val GatewayState.gateways: Int
    get() = maxOf(exchange.members.size + 1, exchange.seeds.size + 1)

private fun sendReport(state: GatewayState): Step<GatewayState> {
    val exchange = state.exchange
    val now = state.common.now
    val targets = exchange.members.keys + exchange.candidates.keys + exchange.seeds - exchange.own
    val next = exchange.copy(sequence = exchange.sequence + 1, lastSent = now)
    val report = GatewayReport(
        host = state.common.node.host,
        incarnation = state.common.node.incarnation,
        sequence = next.sequence,
        revision = state.published.revision,
        storeReachable = state.published.storeReachable,
        ready = state.common.ready,
        loads = state.endpoints.filterValues { it.work.isNotEmpty() }.mapValues { it.value.load() },
        members = exchange.members.filterValues { now - it.heardAt < HEARD_LATELY }.keys.toList()
    )
    return state.copy(exchange = next)
        .step(ExchangeEffect.SendReport(targets.toList(), report))
}

/** A member that was silent while this process was paused need not be gone. */
internal fun withoutPause(state: GatewayState, pause: Duration): GatewayState {
    val members = state.exchange.members.builder()
    for ((address, member) in state.exchange.members) {
        members[address] = member.copy(heardAt = member.heardAt + pause)
    }
    return state.copy(exchange = state.exchange.copy(members = members.build()))
}

private fun dropSilentMembers(state: GatewayState): Step<GatewayState> {
    val now = state.common.now
    val silent = state.exchange.members.filterValues { now - it.heardAt > MEMBER_VALID }
    val stale = state.exchange.candidates.filterValues { now - it > CANDIDATE_VALID }
    if (silent.isEmpty() && stale.isEmpty()) return state.step()
    val candidates = state.exchange.candidates.builder().apply { keys.removeAll(stale.keys) }
    val trimmed = state.exchange.copy(candidates = candidates.build())
    return state.copy(exchange = trimmed).step()
        .thenEach(silent.entries) { next, (address, member) ->
            val members = next.exchange.members.remove(address)
            next.copy(exchange = next.exchange.copy(members = members)).step(
                logEffect(
                    LogEvent.MEMBER_LOST,
                    "member" to member.report.host,
                    "address" to address,
                    "silent" to (now - member.heardAt)
                )
            )
        }
}

/** Shortest time between reports, so that a gateway takes in a bounded number of them. */
private fun intervalFor(members: Int): Duration = PER_MEMBER * members

private val BEAT: Duration = 500.milliseconds
private val PER_MEMBER: Duration = 10.milliseconds

/** Work in an older report is likely over. */
private val LOAD_VALID: Duration = 1500.milliseconds
private val HEARD_LATELY: Duration = 2.seconds
private val CANDIDATE_VALID: Duration = 5.seconds

/** A gateway that is silent for a while still counts for shared limits. */
private val MEMBER_VALID: Duration = 15.seconds
