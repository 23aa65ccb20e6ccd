/*
 * Follows the published records: one full read of the store, then its changes as they are
 * published. While the store does not answer, the records that were read last stay in force.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentSetOf
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.Revision
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

internal fun reducePublished(state: GatewayState, event: PublishedEvent): Step<GatewayState> =
    when (event) {
        is PublishedEvent.SnapshotRead ->
            if (event.from == null) {
                reduceSnapshot(state, event)
            } else {
                reducePeerSnapshot(state, event)
            }

        is PublishedEvent.ChangesRead -> noteStoreAnswer(state)
            .then { logChanges(it, event) }
            .then { applyChanges(it, event.revision, event.changes) }
            .then { if (event.changes.isEmpty()) readNextChanges(it) else readLater(it) }

        is PublishedEvent.HistoryLost ->
            state.step(logEffect(LogEvent.HISTORY_LOST), PublishedEffect.ReadSnapshot)

        is PublishedEvent.ReadFailed ->
            if (event.from == null) {
                reduceReadFailed(state, event).then { readFromPeerIfNewer(it) }
            } else {
                notePeerAnswer(state).step(
                    logEffect(
                        LogEvent.PEER_RECORDS_FAILED,
                        "member" to event.from,
                        "cause" to event.cause
                    )
                )
            }
    }

/**
 * Reads the records of the gateway with the latest revision if that is later than this gateway's,
 * while the store does not answer or has not yet provided a routing table.
 */
internal fun readFromPeerIfNewer(state: GatewayState): Step<GatewayState> {
    val published = state.published
    if (published.peerReadPending || (published.storeReachable && published.table != null)) {
        return state.step()
    }
    val (address, member) = state.exchange.members.entries
        .maxByOrNull { it.value.report.revision }
        ?.takeIf { it.value.report.revision > published.revision } ?: return state.step()
    return state.copy(published = published.copy(peerReadPending = true))
        .step(PublishedEffect.ReadFromPeer(member.report.host, address))
}

private fun reducePeerSnapshot(
    state: GatewayState,
    event: PublishedEvent.SnapshotRead
): Step<GatewayState> {
    val noted = notePeerAnswer(state)
    if (event.revision <= noted.published.revision) return noted.step()
    return applySnapshot(noted, event)
}

internal fun notePeerAnswer(state: GatewayState): GatewayState =
    state.copy(published = state.published.copy(peerReadPending = false))

/**
 * Requests the changes after the known revision, or all records if none is known or these changes
 * cannot be read.
 */
internal fun readNextChanges(state: GatewayState): Step<GatewayState> {
    val published = state.published
    return state.step(
        if (published.revision == Revision.NONE || published.changesUnreadable) {
            PublishedEffect.ReadSnapshot
        } else {
            PublishedEffect.WatchChanges(published.revision, WATCH_WAIT)
        }
    )
}

/**
 * Requests the next changes after a wait, so that changes in quick succession arrive together. The
 * wait grows with the number of gateways, which all make the same calls to the store.
 */
private fun readLater(state: GatewayState): Step<GatewayState> {
    val wait = (READ_SPACING_PER_GATEWAY * state.gatewayCount).coerceAtMost(MAX_READ_SPACING)
    return state.step(RuntimeEffect.SetTimer(TimerId.PublishedRead, wait))
}

private fun reduceSnapshot(
    state: GatewayState,
    event: PublishedEvent.SnapshotRead
): Step<GatewayState> {
    if (event.revision < state.published.revision) {
        val published = state.published.copy(changesUnreadable = false)
        return readNextChanges(state.copy(published = published))
    }
    return noteStoreAnswer(state).then { applySnapshot(it, event) }.then { readNextChanges(it) }
}

private fun applySnapshot(
    state: GatewayState,
    event: PublishedEvent.SnapshotRead
): Step<GatewayState> = removeUnlisted(state, event.records)
    .then { applyChanges(it, event.revision, event.records) }
    .then { if (state.published.revision == Revision.NONE) beginCautiously(it) else it.step() }
    .then {
        it.step(
            logEffect(
                LogEvent.RECORDS_READ,
                "from" to (event.from ?: "store"),
                "revision" to event.revision,
                "records" to event.records.size,
                "endpoints" to it.endpoints.size
            )
        )
    }

/** Removes endpoints, and marks of data centres as out, that a full read no longer lists. */
private fun removeUnlisted(
    state: GatewayState,
    records: List<PublishedRecord>
): Step<GatewayState> {
    val listed = records.filterIsInstance<PublishedRecord.Endpoint>().map { it.record.id }.toSet()
    val listedOut =
        records.filterIsInstance<PublishedRecord.DataCentreOut>().map { it.dataCentre }.toSet()
    return state.step()
        .thenEach(state.endpoints.keys.filterNot { it in listed }) { next, id ->
            removeEndpoint(next, id)
        }
        .thenEach(
            state.published.dataCentresOut.filterNot {
                it in listedOut
            }
        ) { next, dataCentre ->
            takeDataCentreBack(next, dataCentre)
        }
}

private fun logChanges(state: GatewayState, event: PublishedEvent.ChangesRead): Step<GatewayState> {
    if (event.changes.isEmpty()) return state.step()
    return state.step(
        logEffect(
            LogEvent.CHANGES_READ,
            "before" to state.published.revision,
            "revision" to event.revision,
            "changes" to event.changes.size
        )
    )
}

private fun applyChanges(
    state: GatewayState,
    revision: Revision,
    records: List<PublishedRecord>
): Step<GatewayState> = state.step()
    .thenEach(records) { next, record -> applyRecord(next, record) }
    .then {
        val published = it.published.copy(revision = revision, changesUnreadable = false)
        it.copy(published = published).step()
    }

private fun applyRecord(state: GatewayState, record: PublishedRecord): Step<GatewayState> =
    when (record) {
        is PublishedRecord.Table -> acceptTable(state, record)

        is PublishedRecord.Endpoint -> putEndpoint(state, record.record)

        is PublishedRecord.EndpointRemoved -> removeEndpoint(state, record.endpoint)

        is PublishedRecord.DataCentreOut -> takeDataCentreOut(state, record.dataCentre)

        is PublishedRecord.DataCentreBack -> takeDataCentreBack(state, record.dataCentre)

        is PublishedRecord.Unusable -> state.step(
            logEffect(
                LogEvent.RECORD_UNUSABLE,
                "record" to record.name,
                "problem" to record.problem
            )
        )
    }

/** Accepts a table only if its version is higher, since reads may arrive out of order. */
private fun acceptTable(state: GatewayState, record: PublishedRecord.Table): Step<GatewayState> {
    val table = record.table
    val current = state.published.table
    if (current != null && table.version <= current.version) return state.step()
    val published = state.published.copy(table = table, routes = RouteIndex.of(table))
    return state.copy(published = published).step(
        logEffect(
            LogEvent.ROUTES_ACCEPTED,
            "version" to table.version,
            "before" to current?.version,
            "routes" to table.routes.size
        ),
        ForwardEffect.SetCallerLimits(table.limits)
    ).thenEach(record.replacedFigures) { next, problem ->
        next.step(
            logEffect(
                LogEvent.FIGURE_REPLACED,
                "version" to table.version,
                "problem" to problem
            )
        )
    }
}

private fun putEndpoint(state: GatewayState, record: EndpointRecord): Step<GatewayState> {
    val previous = state.endpoints[record.id]
    val restarted = previous != null && previous.record.startedAt != record.startedAt
    val coldUntil = state.common.now + record.coldRemaining
    val next = if (previous == null || restarted) {
        EndpointState(record, coldUntil)
    } else {
        previous.copy(record = record, coldUntil = coldUntil, misdirected = false)
    }
    val event = when {
        previous == null -> LogEvent.ENDPOINT_ADDED
        restarted -> LogEvent.ENDPOINT_REBORN
        record.leaving && !previous.record.leaving -> LogEvent.ENDPOINT_LEAVING
        else -> null
    }
    val lapsed = state.published.lapsedEndpoints.remove(record.id)
    val published = state.published.copy(lapsedEndpoints = lapsed)
    val changed =
        state.copy(endpoints = state.endpoints.put(record.id, next), published = published)
    return if (event == null) changed.step() else changed.step(endpointLog(event, record))
}

/**
 * Removes an endpoint. Around an outage of the store, records of live endpoints lapse too until
 * those endpoints register again, so lapsed endpoints are retained until the time for that is over.
 */
private fun removeEndpoint(state: GatewayState, id: EndpointId): Step<GatewayState> {
    val endpoint = state.endpoints[id] ?: return state.step()
    val published = state.published
    return if (state.common.now < published.lapsedRetainedUntil && !isLeaving(state, endpoint)) {
        val lapsed = published.lapsedEndpoints.add(id)
        state.copy(published = published.copy(lapsedEndpoints = lapsed)).step(
            logEffect(
                LogEvent.ENDPOINT_RETAINED,
                "endpoint" to id,
                "for" to (published.lapsedRetainedUntil - state.common.now)
            )
        )
    } else {
        state.copy(
            endpoints = state.endpoints.remove(id),
            published = published.copy(lapsedEndpoints = published.lapsedEndpoints.remove(id))
        ).step(
            endpointLog(LogEvent.ENDPOINT_REMOVED, endpoint.record),
            ForwardEffect.CloseConnections(endpoint.record.address)
        )
    }
}

/** Ends the time in which lapsed endpoints are retained, and removes those still lapsed. */
internal fun removeLapsedEndpoints(state: GatewayState): Step<GatewayState> {
    val published = state.published
    val next = state.copy(published = published.copy(lapsedRetainedUntil = state.common.now))
    return next.step()
        .thenEach(published.lapsedEndpoints) { current, id -> removeEndpoint(current, id) }
}

private fun takeDataCentreOut(state: GatewayState, dataCentre: DataCentreId): Step<GatewayState> {
    if (dataCentre in state.published.dataCentresOut) return state.step()
    val out = state.published.dataCentresOut.add(dataCentre)
    return state.copy(published = state.published.copy(dataCentresOut = out))
        .step(logEffect(LogEvent.DATA_CENTRE_OUT, "data_centre" to dataCentre))
}

private fun takeDataCentreBack(state: GatewayState, dataCentre: DataCentreId): Step<GatewayState> {
    if (dataCentre !in state.published.dataCentresOut) return state.step()
    val out = state.published.dataCentresOut.remove(dataCentre)
    return state.copy(published = state.published.copy(dataCentresOut = out))
        .step(logEffect(LogEvent.DATA_CENTRE_BACK, "data_centre" to dataCentre))
}

/** Records that the store answered. */
private fun noteStoreAnswer(state: GatewayState): Step<GatewayState> {
    val published = state.published
    val now = state.common.now
    val silence = now - published.lastReadAt
    val answered = state.copy(published = published.copy(failedReads = 0, lastReadAt = now))
        .step(RuntimeEffect.Observe(Metric.STORE_SILENCE, MetricLabels(), silence.toSeconds()))
    val isOutage = published.revision != Revision.NONE &&
        (!published.storeReachable || silence > MAX_SILENCE_WITHOUT_OUTAGE)
    if (!isOutage) return answered
    return answered.then { it.step(logEffect(LogEvent.STORE_REGAINED, "silent" to silence)) }
        .then { if (silence < it.bounds.endpointLapseTime) it.step() else retainLapsed(it) }
}

/** After an outage in which records can have lapsed, lets their endpoints register again. */
private fun retainLapsed(state: GatewayState): Step<GatewayState> {
    val wait = state.bounds.endpointGracePeriod
    val retainedUntil = state.common.now + wait
    return state.copy(published = state.published.copy(lapsedRetainedUntil = retainedUntil))
        .step(RuntimeEffect.SetTimer(TimerId.EndpointReturn, wait))
}

internal fun reduceReadFailed(
    state: GatewayState,
    event: PublishedEvent.ReadFailed
): Step<GatewayState> {
    val published = state.published
    val failedReads = published.failedReads + 1
    val wait = (READ_BACKOFF_STEP * failedReads).coerceAtMost(MAX_READ_BACKOFF)
    val next = published.copy(
        failedReads = failedReads,
        changesUnreadable = published.changesUnreadable || !event.repeatable
    )
    val log = when {
        next.changesUnreadable && !published.changesUnreadable -> LogEvent.CHANGES_UNREADABLE
        published.storeReachable -> LogEvent.STORE_LOST
        else -> null
    }
    val failed = state.copy(published = next).step(
        RuntimeEffect.SetTimer(TimerId.PublishedRead, wait),
        logEffect(
            LogEvent.READ_FAILED,
            "failures" to failedReads,
            "silent" to (state.common.now - published.lastReadAt),
            "revision" to published.revision,
            "cause" to event.cause
        )
    )
    return if (log == null) {
        failed
    } else {
        failed.then { it.step(logEffect(log, "cause" to event.cause)) }
    }
}

private fun endpointLog(event: LogEvent, record: EndpointRecord) = logEffect(
    event,
    "endpoint" to record.id,
    "service" to record.service,
    "address" to record.address,
    "endpoint_start" to record.startedAt?.milliseconds,
    "endpoint_data_centre" to record.dataCentre,
    "cold_for" to record.coldRemaining
)

/**
 * How long the store may wait for changes before it answers. Also the longest time for which an
 * unresponsive connection to the store goes unnoticed.
 */
private val WATCH_WAIT: Duration = 1500.milliseconds

private val READ_SPACING_PER_GATEWAY: Duration = 10.milliseconds

/** A small part of the time within which a change has to be in force. */
private val MAX_READ_SPACING: Duration = 400.milliseconds

/** A longer time between answers of the store counts as an outage. */
private val MAX_SILENCE_WITHOUT_OUTAGE: Duration = 3.seconds

/** The wait before the next read grows by this with each failed read in a row. */
private val READ_BACKOFF_STEP: Duration = 100.milliseconds
private val MAX_READ_BACKOFF: Duration = 500.milliseconds
