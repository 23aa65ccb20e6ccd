/*
 * Follows the published records: one full read of the store, then its changes as they are
 * published. While the store does not answer, the records that were read last stay in force.
 */
package org.gypsumroute.core.gateway.records

import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.Revision
import org.gypsumroute.api.Step
import org.gypsumroute.api.StoreEra
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.READ_OUTDATED
import org.gypsumroute.core.gateway.countRead
import org.gypsumroute.core.gateway.crashes.beginCautiously
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

internal fun reducePublished(state: GatewayState, event: PublishedEvent): Step<GatewayState> =
    if (event is PublishedEvent.OfStore) {
        noteAnsweredEra(state, event.era).then { reduceRead(it, event) }
    } else {
        reduceRead(state, event)
    }

private fun reduceRead(state: GatewayState, event: PublishedEvent): Step<GatewayState> =
    when (event) {
        is PublishedEvent.SnapshotRead -> reduceSnapshot(state, event)

        is PublishedEvent.ChangesRead -> reduceChanges(state, event)

        is PublishedEvent.HistoryLost -> reduceHistoryLost(state, event)

        is PublishedEvent.ReadFailed ->
            reduceReadFailed(state, event).then { readFromPeerIfNewer(it) }

        is PublishedEvent.ReadProgressed -> reduceReadProgressed(state, event)

        is PublishedEvent.PeerRecordsRead -> reducePeerRecords(state, event)

        is PublishedEvent.PeerReadFailed -> reducePeerReadFailed(state, event)
    }

private fun reduceSnapshot(
    state: GatewayState,
    event: PublishedEvent.SnapshotRead
): Step<GatewayState> {
    val answered = noteStoreAnswer(state, event.read)
    return if (isOutdated(state, event.revision)) {
        answered.then { noteOutdated(it, event.revision, event.era.era) }
            .then { startReadUnlessAwaited(withReadableChanges(it)) }
    } else {
        answered.then { applySnapshot(it, "store", event.revision, event.records) }
            .then { startReadUnlessAwaited(it) }
    }
}

private fun reduceChanges(
    state: GatewayState,
    event: PublishedEvent.ChangesRead
): Step<GatewayState> {
    val answered = noteStoreAnswer(state, event.read)
        .then { withReads(it) { reads -> reads.copy(historyLosses = 0) }.step() }
    return if (isOutdated(state, event.revision)) {
        answered.then { noteOutdated(it, event.revision, event.era.era) }
            .then { startReadUnlessAwaited(it) }
    } else if (event.changes.isEmpty()) {
        answered.then { startReadUnlessAwaited(it) }
    } else {
        answered.then { logChanges(it, event) }
            .then { applyChanges(it, event.revision, event.changes) }
            .then { readLater(it) }
    }
}

/** Whether an answer was overtaken by newer records, such as those of another gateway. */
private fun isOutdated(state: GatewayState, revision: Revision): Boolean =
    revision < state.published.revision

/** Logs and counts records that are dropped because newer ones are in force. */
private fun noteOutdated(
    state: GatewayState,
    revision: Revision,
    era: StoreEra
): Step<GatewayState> = state.step(
    logEffect(
        LogEvent.RECORDS_OUTDATED,
        "revision" to revision,
        "era" to era,
        "held" to state.published.revision,
        "held_era" to state.published.reads.era,
        "unchanged" to state.published.appliedAt?.let { state.common.now - it }
    ),
    countRead(READ_OUTDATED)
)

/** Replaces all records by those of a full read [from] the store or another gateway. */
internal fun applySnapshot(
    state: GatewayState,
    from: String,
    revision: Revision,
    records: List<PublishedRecord>
): Step<GatewayState> = removeUnlisted(state, records)
    .then { applyChanges(it, revision, records) }
    .then { if (state.published.revision == Revision.NONE) beginCautiously(it) else it.step() }
    .then {
        it.step(
            logEffect(
                LogEvent.RECORDS_READ,
                "from" to from,
                "revision" to revision,
                "era" to it.published.reads.era,
                "version" to it.published.table?.version,
                "records" to records.size,
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
            "era" to event.era.era,
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
    .then { withRevision(it, revision).step() }
    .then { withReadableChanges(it).step() }

private fun withRevision(state: GatewayState, revision: Revision): GatewayState = state.copy(
    published = state.published.copy(revision = revision, appliedAt = state.common.now)
)

private fun applyRecord(state: GatewayState, record: PublishedRecord): Step<GatewayState> =
    when (record) {
        is PublishedRecord.Table -> acceptTable(state, record)
        is PublishedRecord.Endpoint -> putEndpoint(state, record.record)
        is PublishedRecord.EndpointRemoved -> removeEndpoint(state, record.endpoint)
        is PublishedRecord.DataCentreOut -> takeDataCentreOut(state, record.dataCentre)
        is PublishedRecord.DataCentreBack -> takeDataCentreBack(state, record.dataCentre)
        is PublishedRecord.Unusable -> skipUnusable(state, record)
    }

/** Keeps what was known, except of an endpoint, which has to publish itself again. */
private fun skipUnusable(
    state: GatewayState,
    record: PublishedRecord.Unusable
): Step<GatewayState> {
    val logged = state.step(
        logEffect(
            LogEvent.RECORD_UNUSABLE,
            "record" to record.name,
            "problem" to record.problem
        )
    )
    return record.endpoint?.let { id -> logged.then { removeEndpoint(it, id) } } ?: logged
}

/** Accepts a table only if its version is higher, since reads may arrive out of order. */
private fun acceptTable(state: GatewayState, record: PublishedRecord.Table): Step<GatewayState> {
    val table = record.table
    val current = state.published.table
    if (current != null && table.version <= current.version) return state.step()
    val routes = RouteIndex.of(table, previous = state.published.routes)
    val published = state.published.copy(table = table, routes = routes)
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
