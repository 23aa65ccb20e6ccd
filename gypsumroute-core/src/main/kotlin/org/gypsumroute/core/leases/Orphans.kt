/*
 * Orphans: streams and cache handles that the engine holds without a reservation, left by an
 * earlier agent process or by lost messages. After one lease time no entry can claim them any
 * more.
 */
package org.gypsumroute.core.leases

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.EngineState
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.Moment
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.logEffect

/** Updates the orphans from a report, and cancels or releases those older than the lease time. */
internal fun reconcileOrphans(state: AgentState, report: EngineState): Step<AgentState> {
    val now = state.common.now
    val engine = state.engine
    val streams = withFirstSeen(
        report.streams.keys.filter { it !in state.ledger.reservations },
        engine.orphanStreams,
        now
    )
    val handles = withFirstSeen(
        report.handles.keys.filter { it !in state.ledger.handles },
        engine.orphanHandles,
        now
    )
    val retention = state.common.timings.engineCheck * ENDED_STREAM_RETENTION_CHECKS
    val next = state.copy(
        engine = engine.copy(
            orphanStreams = streams,
            orphanHandles = handles,
            endedStreams = engine.endedStreams.filterValues { now - it <= retention }
                .toPersistentMap()
        )
    )
    val leaseTime = state.common.timings.leaseTime
    val expired = { since: Moment -> now - since >= leaseTime }
    return Step(
        next,
        streams.filterValues(expired).keys.flatMap(::cancelOrphan) +
            handles.filterValues(expired).keys.flatMap(::releaseOrphan)
    )
}

private fun <K> withFirstSeen(
    present: List<K>,
    before: PersistentMap<K, Moment>,
    now: Moment
): PersistentMap<K, Moment> = present.associateWith { before[it] ?: now }.toPersistentMap()

private fun cancelOrphan(lease: LeaseId): List<Effect> = listOf(
    logEffect(LogEvent.ORPHAN_STREAM, "lease" to lease),
    RuntimeEffect.Count(Metric.ORPHANS, MetricLabels(outcome = "stream")),
    EngineEffect.CancelStream(lease)
)

private fun releaseOrphan(handle: HandleId): List<Effect> = listOf(
    logEffect(LogEvent.ORPHAN_HANDLE, "handle" to handle),
    RuntimeEffect.Count(Metric.ORPHANS, MetricLabels(outcome = "handle")),
    EngineEffect.ReleaseHandle(handle)
)

/** Ended streams are remembered for this many check intervals; no report should lag longer. */
private const val ENDED_STREAM_RETENTION_CHECKS = 4
