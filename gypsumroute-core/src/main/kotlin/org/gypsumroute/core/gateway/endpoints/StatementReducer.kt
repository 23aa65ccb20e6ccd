/*
 * What endpoints state of themselves in their answers, and what other gateways report of that.
 *
 * An endpoint that said that it leaves, in an answer or in its record, gets nothing new until a
 * newer start of it is published. For an answer, that is one that began after the statement. The
 * mark outlives the record, which may lapse and come back while the endpoint still runs.
 */
package org.gypsumroute.core.gateway.endpoints

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.EndpointStatement
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.Moment
import org.gypsumroute.api.ReportedLeaving
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.StatementKind
import org.gypsumroute.api.Step
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.crashes.windowOf
import org.gypsumroute.core.gateway.records.isRestoring
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.thenEach

internal fun reduceEndpointStated(
    state: GatewayState,
    event: ForwardEvent.EndpointStated
): Step<GatewayState> = when (val statement = event.statement) {
    is EndpointStatement.Load -> reduceLoadStated(state, event.endpoint, statement.report)

    is EndpointStatement.Leaving -> {
        val now = state.common.now
        val mark = markOf(state, event.endpoint, event.startedAt, now, own = true)
        markLeaving(state, event.endpoint, mark, OWN_SOURCE)
    }

    is EndpointStatement.Pause -> reducePauseStated(state, event, statement)

    is EndpointStatement.Unusable -> state.step(countUnusable(statement.kind))
}

/** Takes over what another gateway heard. */
internal fun reduceReportedLeaving(
    state: GatewayState,
    source: String,
    reported: List<ReportedLeaving>
): Step<GatewayState> = state.step().thenEach(reported) { next, leaving ->
    val statedAt = next.common.now + -leaving.ago
    val start = leaving.startedAt
    val mark = if (leaving.byRecord && start != null) {
        LeavingMark(start, statedAt, lastStart = start, own = false)
    } else {
        markOf(next, leaving.endpoint, start, statedAt, own = false)
    }
    markLeaving(next, leaving.endpoint, mark, source)
}

/**
 * What this gateway heard itself of endpoints that are still published. After the store came back
 * from an older copy, also what their records said, since a gateway that starts then cannot read
 * that.
 */
internal fun leavingReport(state: GatewayState, turn: Long): List<ReportedLeaving> {
    val reported = state.leaving.entries
        .filter { (id, mark) ->
            (mark.own || (state.isRestoring && mark.isOfRecord)) &&
                state.endpoints[id]?.let { isLeaving(state, it) } == true
        }
        .map { (id, mark) ->
            val age = state.common.now - mark.statedAt
            ReportedLeaving(id, mark.startedAt, age, byRecord = mark.isOfRecord && !mark.own)
        }
    return windowOf(reported, MAX_REPORTED_LEAVING, turn)
}

/** Whether the endpoint leaves, by its record or by what it stated in an answer. */
internal fun isLeaving(state: GatewayState, endpoint: EndpointState): Boolean {
    val record = endpoint.record
    return record.leaving || state.leaving[record.id]?.holdsFor(record.startedAt) == true
}

/** Marks the start in a record that says that it leaves; a later record does not unsay it. */
internal fun withPublishedLeaving(state: GatewayState, record: EndpointRecord): GatewayState {
    val start = record.startedAt
    if (!record.leaving || start == null) return state
    val mark = LeavingMark(start, state.common.now, lastStart = start, own = false)
    val merged = state.leaving[record.id]?.mergedWith(mark) ?: mark
    return state.copy(leaving = state.leaving.put(record.id, merged))
}

/** Whether a record that says that it is ready names a start that is known to leave. */
internal fun contradictsLeaving(state: GatewayState, record: EndpointRecord): Boolean =
    !record.leaving && state.leaving[record.id]?.holdsFor(record.startedAt) == true

/** Forgets marks of endpoints whose records are gone for so long that they have ended. */
internal fun withoutOldMarks(state: GatewayState): GatewayState {
    val now = state.common.now
    val old = state.leaving.filter { (id, mark) ->
        id !in state.endpoints && now - mark.statedAt > MARK_RETENTION
    }
    if (old.isEmpty()) return state
    val left = state.leaving.builder().apply { keys.removeAll(old.keys) }
    return state.copy(leaving = left.build())
}

/**
 * The mark for a statement that is attributed to [startedAt]. Unless the record shows a later start
 * by now, any start before the statement can have made it, since records may be old.
 */
private fun markOf(
    state: GatewayState,
    id: EndpointId,
    startedAt: UnixTime?,
    statedAt: Moment,
    own: Boolean
): LeavingMark {
    val saidBefore = UnixTime(state.startedAt.milliseconds + statedAt.milliseconds)
    val published = state.endpoints[id]?.record?.startedAt
    val lastStart = when {
        startedAt == null -> saidBefore
        startedAt.isBefore(published) -> startedAt
        else -> maxOf(startedAt, saidBefore)
    }
    return LeavingMark(startedAt, statedAt, lastStart, own)
}

private fun markLeaving(
    state: GatewayState,
    id: EndpointId,
    mark: LeavingMark,
    source: String
): Step<GatewayState> {
    val known = state.leaving[id]
    val next = known?.mergedWith(mark) ?: mark
    val marked =
        if (next == known) state else state.copy(leaving = state.leaving.put(id, next))
    return when {
        known?.startedAt != next.startedAt || known?.own != next.own -> marked.step(
            believedLog(marked, id, next, source),
            countBelieved(if (mark.own) StatementKind.LEAVING.code else "leaving_reported")
        )

        mark.startedAt != known.startedAt -> marked.step(countOutdated(mark))

        else -> marked.step()
    }
}

private fun believedLog(state: GatewayState, id: EndpointId, mark: LeavingMark, source: String) =
    logEffect(
        LogEvent.ENDPOINT_STATED_LEAVING,
        "endpoint" to id,
        "started_at" to mark.startedAt?.milliseconds,
        "last_start" to mark.lastStart.milliseconds,
        "source" to source,
        "age" to (state.common.now - mark.statedAt),
        "published" to state.endpoints[id]?.record?.startedAt?.milliseconds
    )

internal fun countBelieved(outcome: String) =
    RuntimeEffect.Count(Metric.STATEMENTS, MetricLabels(outcome = outcome))

/** Counts a statement of a start that is older than one that is known to leave. */
private fun countOutdated(mark: LeavingMark) = RuntimeEffect.Count(
    Metric.STATEMENTS_REJECTED,
    MetricLabels(outcome = if (mark.own) "leaving_outdated" else "leaving_reported_outdated")
)

private fun countUnusable(kind: StatementKind) = if (kind == StatementKind.LOAD) {
    RuntimeEffect.Count(Metric.LOADS_REJECTED, MetricLabels())
} else {
    RuntimeEffect.Count(Metric.STATEMENTS_REJECTED, MetricLabels(outcome = kind.code))
}

/** Source of a belief that an endpoint stated to this gateway itself. */
internal const val OWN_SOURCE = "answer"
private const val MAX_REPORTED_LEAVING = 16
private val MARK_RETENTION: Duration = 10.minutes
