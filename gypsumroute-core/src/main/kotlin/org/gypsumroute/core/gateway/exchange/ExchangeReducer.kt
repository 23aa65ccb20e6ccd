/*
 * Exchange of loads between gateways. Each gateway reports its work at endpoints to all others, so
 * that placements count the work of all gateways. A report is small and complete in itself, so it
 * may be lost; no decision waits for a report.
 */
package org.gypsumroute.core.gateway.exchange

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
import org.gypsumroute.api.Moment
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.crashes.endCautionBeside
import org.gypsumroute.core.gateway.crashes.reduceCrashReport
import org.gypsumroute.core.gateway.endpoints.EndpointState
import org.gypsumroute.core.gateway.endpoints.leavingReport
import org.gypsumroute.core.gateway.endpoints.paceReport
import org.gypsumroute.core.gateway.endpoints.reduceReportedLeaving
import org.gypsumroute.core.gateway.endpoints.withoutOldMarks
import org.gypsumroute.core.gateway.endpoints.withoutOldPauses
import org.gypsumroute.core.gateway.records.noteReportedEra
import org.gypsumroute.core.gateway.records.noteStoreHeard
import org.gypsumroute.core.gateway.records.readFromPeerIfNewer
import org.gypsumroute.core.gateway.records.withoutOldRemovals
import org.gypsumroute.core.gateway.shares.refreshShares
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
    val previous = exchange.members[from]
    val outdated = previous != null && previous.report.incarnation == report.incarnation &&
        previous.report.sequence >= report.sequence
    if (from == exchange.ownAddress || outdated) return state.step()
    val now = state.common.now
    val newAddresses = report.members.filter {
        it != exchange.ownAddress && it != from && it !in exchange.members &&
            it !in exchange.discovered
    }
    val previousLoads =
        previous?.takeIf { it.report.incarnation == report.incarnation }?.latestLoads
            ?: persistentMapOf()
    val member = Member(
        report,
        now,
        previousLoads.putAll(report.loads),
        stoppingSince(previous, report, now)
    )
    val next = exchange.copy(
        members = exchange.members.put(from, member),
        discovered = exchange.discovered.remove(from).putAll(newAddresses.associateWith { now })
    )
    val changed = state.copy(
        exchange = next,
        endpoints = withReportedWork(state, previousLoads, report.loads)
    )
    val informed = endCautionBeside(changed, report.age)
        .then { reduceCrashReport(it, report.crashes) }
        .then { reduceReportedLeaving(it, "${report.host}", report.leaving) }
        .then { noteReportedAnswer(it, report) }
        .then { noteReportedEra(it, report) }
    return if (previous != null) {
        informed.then { readFromPeerIfNewer(it) }
    } else {
        informed.then {
            it.step(
                logEffect(
                    LogEvent.MEMBER_JOINED,
                    "member" to report.host,
                    "address" to from,
                    "incarnation" to report.incarnation,
                    "members" to next.members.size
                )
            )
        }.then { sendReport(it) }.then { readFromPeerIfNewer(it) }
    }
}

private fun noteReportedAnswer(state: GatewayState, report: GatewayReport): Step<GatewayState> {
    val age = report.storeAnswerAge ?: return state.step()
    return noteStoreHeard(state, state.common.now + -age)
}

private fun stoppingSince(previous: Member?, report: GatewayReport, now: Moment): Moment? = when {
    report.ready || previous?.report?.incarnation != report.incarnation -> null
    previous.report.ready -> now
    else -> previous.stoppingSince
}

/**
 * Sends the periodic report. It also goes to seeds and discovered addresses, so gateways find each
 * other by it.
 */
internal fun reducePeriodicReport(state: GatewayState): Step<GatewayState> =
    removeSilentMembers(state)
        .then { it.copy(crashes = it.crashes.withoutExpired(it.common.now)).step() }
        .then { withoutOldPauses(withoutOldMarks(withoutOldRemovals(it))).step() }
        .then { sendReport(it) }
        .then { it.step(RuntimeEffect.SetTimer(TimerId.ReportBeat, REPORT_INTERVAL)) }

internal fun reduceChangeReport(state: GatewayState): Step<GatewayState> =
    sendReport(state.copy(exchange = state.exchange.copy(changeTimerSet = false)))

/**
 * Reports changed work at once, or after a wait if the last report is too recent. The interval
 * between reports grows with the number of gateways. Lost endpoints are reported sooner: until all
 * gateways know of them, requests with the same prompts may end further ones.
 */
internal fun reportChangedLoads(before: GatewayState, state: GatewayState): Step<GatewayState> {
    val exchange = state.exchange
    val lost = before.crashes.ownLosses != state.crashes.ownLosses
    val changed = lost || before.endpoints !== state.endpoints ||
        before.leaving !== state.leaving
    val isAwaited = exchange.changeTimerSet && !lost
    if (!changed || exchange.members.isEmpty() || isAwaited) return state.step()
    val usualInterval = minReportInterval(exchange.members.size)
    val interval = if (lost) minOf(usualInterval, LOSS_REPORT_INTERVAL) else usualInterval
    val wait = exchange.lastReportSentAt + interval - state.common.now
    return if (wait <= Duration.ZERO) {
        sendReport(state)
    } else {
        state.copy(exchange = exchange.copy(changeTimerSet = true))
            .step(RuntimeEffect.SetTimer(TimerId.ReportChange, wait))
    }
}

/**
 * Adds the reading time that another gateway sent to endpoints since its previous report to their
 * backlogs.
 */
private fun withReportedWork(
    state: GatewayState,
    previousLoads: Map<EndpointId, EngineLoad>,
    loads: Map<EndpointId, EngineLoad>
): PersistentMap<EndpointId, EndpointState> {
    var endpoints = state.endpoints
    for ((id, load) in loads) {
        val endpoint = endpoints[id]
        val previous = previousLoads[id]
        // Of the work before the first report, only the part not yet read is known.
        val ownPrompts = if (previous == null) {
            load.pendingPrefill
        } else {
            load.totalPrefillSent - previous.totalPrefillSent
        }
        val helperParts = if (previous == null) {
            Duration.ZERO
        } else {
            load.totalHelperPrefillSent - previous.totalHelperPrefillSent
        }
        if (endpoint != null && (ownPrompts > Duration.ZERO || helperParts > Duration.ZERO)) {
            val backlog = endpoint.backlog.plus(state.common.now, ownPrompts, helperParts)
            endpoints = endpoints.put(id, endpoint.copy(backlog = backlog))
        }
    }
    return endpoints
}

/** The latest reports of other gateways, without those older than [LOAD_VALIDITY]. */
internal fun recentPeerReports(state: GatewayState): List<GatewayReport> =
    state.exchange.members.values
        .filter { reportsAt(state.common.now, it) }
        .map { it.report }

/** Whether a gateway has reported recently enough to count on. */
internal fun reportsAt(now: Moment, member: Member): Boolean =
    now - member.lastReportAt < LOAD_VALIDITY

/** Number of gateways that share the limits of the deployment, including this one. */
internal val GatewayState.gatewayCount: Int
    get() = (exchange.members.keys + exchange.seeds + exchange.ownAddress).size

/** Whether a gateway has run for long enough to have heard of those that started with it. */
internal fun mayKnowAllMembers(state: GatewayState): Boolean =
    state.common.now - Moment.START >= MEMBER_DISCOVERY_TIME

private fun sendReport(state: GatewayState): Step<GatewayState> =
    refreshShares(state).then { sendReportOf(it) }

private fun sendReportOf(state: GatewayState): Step<GatewayState> {
    val exchange = state.exchange
    val now = state.common.now
    val targets = exchange.members.keys + exchange.discovered.keys + exchange.seeds -
        exchange.ownAddress
    val next = exchange.copy(sequence = exchange.sequence + 1, lastReportSentAt = now)
    val report = GatewayReport(
        host = state.common.node.host,
        incarnation = state.common.node.incarnation,
        sequence = next.sequence,
        position = state.published.position,
        storeReachable = state.published.storeReachable,
        ready = state.common.ready,
        loads = state.endpoints.filterValues { it.work.isNotEmpty() }
            .mapValues { it.value.ownLoad() },
        members = exchange.members
            .filterValues { now - it.lastReportAt < MEMBER_LISTING_TIME }.keys.toList(),
        crashes = state.crashes.reportAt(now, next.sequence),
        age = now - Moment.START,
        leaving = leavingReport(state, next.sequence),
        storeAnswerAge = state.published.reads.silenceAt(now),
        organisationUse = state.shares.report,
        paces = paceReport(state),
        tableVersion = state.published.table?.version
    )
    return state.copy(exchange = next)
        .step(ExchangeEffect.SendReport(targets.toList(), report))
}

/**
 * Moves the times of the latest reports forward by [pause]: reports could not be received while
 * this process was paused, so the members need not have failed.
 */
internal fun excludePauseFromSilence(state: GatewayState, pause: Duration): GatewayState {
    val members = state.exchange.members.builder()
    for ((address, member) in state.exchange.members) {
        members[address] = member.copy(lastReportAt = member.lastReportAt + pause)
    }
    return state.copy(exchange = state.exchange.copy(members = members.build()))
}

private fun removeSilentMembers(state: GatewayState): Step<GatewayState> {
    val now = state.common.now
    val silent = state.exchange.members.filterValues { now - it.lastReportAt > MEMBER_VALIDITY }
    val stale = state.exchange.discovered.filterValues { now - it > DISCOVERED_VALIDITY }
    if (silent.isEmpty() && stale.isEmpty()) return state.step()
    val discovered = state.exchange.discovered.builder().apply { keys.removeAll(stale.keys) }
    val trimmed = state.exchange.copy(discovered = discovered.build())
    return state.copy(exchange = trimmed).step()
        .thenEach(silent.entries) { next, (address, member) ->
            val members = next.exchange.members.remove(address)
            next.copy(exchange = next.exchange.copy(members = members)).step(
                logEffect(
                    LogEvent.MEMBER_LOST,
                    "member" to member.report.host,
                    "address" to address,
                    "silent" to (now - member.lastReportAt)
                )
            )
        }
}

/** Minimum interval between reports; it bounds the rate at which each gateway receives them. */
internal fun minReportInterval(members: Int): Duration = MIN_REPORT_INTERVAL_PER_MEMBER * members

private val REPORT_INTERVAL: Duration = 500.milliseconds
private val MIN_REPORT_INTERVAL_PER_MEMBER: Duration = 10.milliseconds
private val LOSS_REPORT_INTERVAL: Duration = 50.milliseconds

/** Gateways report twice a second, so each has heard of all others by then. */
private val MEMBER_DISCOVERY_TIME: Duration = 2.seconds

/** The work in an older report has probably ended. */
internal val LOAD_VALIDITY: Duration = 1500.milliseconds

/** Members that were silent for longer are not listed in reports. */
private val MEMBER_LISTING_TIME: Duration = 2.seconds
private val DISCOVERED_VALIDITY: Duration = 5.seconds

/** Until then, a gateway whose reports stay away still counts for the shared limits. */
private val MEMBER_VALIDITY: Duration = 15.seconds
