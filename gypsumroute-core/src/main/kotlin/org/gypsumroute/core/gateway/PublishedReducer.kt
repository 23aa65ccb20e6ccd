/*
 * Follows the published records: one full read, then changes as they come. While the store does
 * not answer, what was read last stays in force.
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
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.Revision
import org.gypsumroute.api.RoutingTable
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

        is PublishedEvent.ChangesRead -> storeAnswered(state)
            .then { applyChanges(it, event.revision, event.changes) }
            .then { readPublished(it) }

        is PublishedEvent.HistoryLost ->
            state.step(logEffect(LogEvent.HISTORY_LOST), PublishedEffect.ReadSnapshot)

        is PublishedEvent.ReadFailed ->
            if (event.from == null) {
                reduceReadFailed(state, event).then { askPeer(it) }
            } else {
                peerAnswered(state).step(
                    logEffect(
                        LogEvent.PEER_RECORDS_FAILED,
                        "member" to event.from,
                        "cause" to event.cause
                    )
                )
            }
    }

/**
 * Asks another gateway for its records if it holds newer ones and the store does not answer here.
 */
internal fun askPeer(state: GatewayState): Step<GatewayState> {
    val published = state.published
    if (published.askingPeer || (published.storeReachable && published.table != null)) {
        return state.step()
    }
    val (address, member) = state.exchange.members.entries
        .maxByOrNull { it.value.report.revision }
        ?.takeIf { it.value.report.revision > published.revision } ?: return state.step()
    return state.copy(published = published.copy(askingPeer = true))
        .step(PublishedEffect.ReadFromPeer(member.report.host, address))
}

private fun reducePeerSnapshot(
    state: GatewayState,
    event: PublishedEvent.SnapshotRead
): Step<GatewayState> {
    val answered = peerAnswered(state)
    if (event.revision <= answered.published.revision) return answered.step()
    return takeSnapshot(answered, event)
}

private fun peerAnswered(state: GatewayState): GatewayState =
    state.copy(published = state.published.copy(askingPeer = false))

/** Asks for the changes after what is known, or for everything. */
internal fun readPublished(state: GatewayState): Step<GatewayState> = state.step(
    if (state.published.revision == Revision.NONE) {
        PublishedEffect.ReadSnapshot
    } else {
        PublishedEffect.WatchChanges(state.published.revision, WATCH_TIME)
    }
)

private fun reduceSnapshot(
    state: GatewayState,
    event: PublishedEvent.SnapshotRead
): Step<GatewayState> {
    if (event.revision < state.published.revision) return readPublished(state)
    return storeAnswered(state).then { takeSnapshot(it, event) }.then { readPublished(it) }
}

private fun takeSnapshot(
    state: GatewayState,
    event: PublishedEvent.SnapshotRead
): Step<GatewayState> = removeUnlisted(state, event.records)
    .then { applyChanges(it, event.revision, event.records) }
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

/** Removes what a full read no longer lists. */
private fun removeUnlisted(
    state: GatewayState,
    records: List<PublishedRecord>
): Step<GatewayState> {
    val listed = records.filterIsInstance<PublishedRecord.Endpoint>().map { it.record.id }.toSet()
    val out =
        records.filterIsInstance<PublishedRecord.DataCentreOut>().map { it.dataCentre }.toSet()
    return state.step()
        .thenEach(state.endpoints.keys.filterNot { it in listed }) { next, id ->
            removeEndpoint(next, id)
        }
        .thenEach(state.published.dataCentresOut.filterNot { it in out }) { next, dataCentre ->
            takeDataCentreBack(next, dataCentre)
        }
}

private fun applyChanges(
    state: GatewayState,
    revision: Revision,
    records: List<PublishedRecord>
): Step<GatewayState> = state.step()
    .thenEach(records) { next, record -> applyRecord(next, record) }
    .then { it.copy(published = it.published.copy(revision = revision)).step() }

private fun applyRecord(state: GatewayState, record: PublishedRecord): Step<GatewayState> =
    when (record) {
        is PublishedRecord.Table -> acceptTable(state, record.table)

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

/** A lower version never replaces a higher one; reads may arrive out of order. */
private fun acceptTable(state: GatewayState, table: RoutingTable): Step<GatewayState> {
    val known = state.published.table
    if (known != null && table.version <= known.version) return state.step()
    val published = state.published.copy(table = table, routes = RouteIndex.of(table))
    return state.copy(published = published).step(
        logEffect(
            LogEvent.ROUTES_ACCEPTED,
            "version" to table.version,
            "before" to known?.version,
            "routes" to table.routes.size
        ),
        ForwardEffect.SetCallerLimits(table.limits)
    )
}

private fun putEndpoint(state: GatewayState, record: EndpointRecord): Step<GatewayState> {
    val known = state.endpoints[record.id]
    val reborn = known != null && known.record.startStamp != record.startStamp
    val coldUntil = state.common.now + record.coldRemaining
    val next = if (known == null || reborn) {
        EndpointState(record, coldUntil)
    } else {
        known.copy(record = record, coldUntil = coldUntil, misdirected = false)
    }
    val event = when {
        known == null -> LogEvent.ENDPOINT_ADDED
        reborn -> LogEvent.ENDPOINT_REBORN
        record.leaving && !known.record.leaving -> LogEvent.ENDPOINT_LEAVING
        else -> null
    }
    val published = state.published.copy(lapsed = state.published.lapsed.remove(record.id))
    val changed =
        state.copy(endpoints = state.endpoints.put(record.id, next), published = published)
    return if (event == null) changed.step() else changed.step(endpointLog(event, record))
}

/**
 * Drops an endpoint. Around an outage of the store, records also lapse of endpoints that are alive
 * and register again, so those stay until the time for that is over.
 */
private fun removeEndpoint(state: GatewayState, id: EndpointId): Step<GatewayState> {
    val known = state.endpoints[id] ?: return state.step()
    val published = state.published
    return if (state.common.now < published.returnsUntil && !known.record.leaving) {
        state.copy(published = published.copy(lapsed = published.lapsed.add(id))).step()
    } else {
        state.copy(
            endpoints = state.endpoints.remove(id),
            published = published.copy(lapsed = published.lapsed.remove(id))
        ).step(
            endpointLog(LogEvent.ENDPOINT_REMOVED, known.record),
            ForwardEffect.CloseConnections(known.record.address)
        )
    }
}

internal fun dropLapsedEndpoints(state: GatewayState): Step<GatewayState> {
    val published = state.published
    val over = state.copy(published = published.copy(returnsUntil = state.common.now))
    return over.step().thenEach(published.lapsed) { next, id -> removeEndpoint(next, id) }
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

/** After an outage, lapsed records get time to return before they count as removed. */
private fun storeAnswered(state: GatewayState): Step<GatewayState> {
    val published = state.published
    val now = state.common.now
    val silent = now - published.lastRead
    val next = published.copy(failures = 0, lastRead = now)
    val outage = published.revision != Revision.NONE &&
        (!published.storeReachable || silent > LONGEST_CALM_SILENCE)
    return if (outage) {
        val wait = state.bounds.endpointGracePeriod
        state.copy(published = next.copy(returnsUntil = now + wait)).step(
            logEffect(LogEvent.STORE_REGAINED, "silent" to silent),
            RuntimeEffect.SetTimer(TimerId.EndpointReturn, wait)
        )
    } else {
        state.copy(published = next).step()
    }
}

private fun reduceReadFailed(
    state: GatewayState,
    event: PublishedEvent.ReadFailed
): Step<GatewayState> {
    val published = state.published
    val failures = published.failures + 1
    val wait = (FIRST_BACKOFF * failures).coerceAtMost(LONGEST_BACKOFF)
    val next = state.copy(published = published.copy(failures = failures))
    val again = RuntimeEffect.SetTimer(TimerId.PublishedRead, wait)
    return if (published.storeReachable) {
        next.step(logEffect(LogEvent.STORE_LOST, "cause" to event.cause), again)
    } else {
        next.step(again)
    }
}

private fun endpointLog(event: LogEvent, record: EndpointRecord) = logEffect(
    event,
    "endpoint" to record.id,
    "service" to record.service,
    "address" to record.address,
    "endpoint_data_centre" to record.dataCentre,
    "cold_for" to record.coldRemaining
)

/** Also the longest time for which a silent connection to the store goes unnoticed. */
private val WATCH_TIME: Duration = 1500.milliseconds
private val LONGEST_CALM_SILENCE: Duration = 3.seconds
private val FIRST_BACKOFF: Duration = 100.milliseconds
private val LONGEST_BACKOFF: Duration = 500.milliseconds
