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
import org.gypsumroute.api.ReadItems
import org.gypsumroute.api.Step
import org.gypsumroute.api.StorePosition
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
    return if (isOvertaken(state, event)) {
        answered.then { noteOutdated(it, event.position) }
            .then { readAfterFruitless(withReadableChanges(it)) }
    } else {
        answered.then { applySnapshot(it, "store", event.position, event.records, event.items) }
            .then { startReadUnlessAwaited(withFullReadTaken(it, event.read)) }
    }
}

/**
 * Whether newer records came into force after a full read began. The store answers each read with
 * its state of that time, so that a read which began later counts, whatever its revision: the store
 * has gone back then, or never had the records in force.
 */
private fun isOvertaken(state: GatewayState, event: PublishedEvent.SnapshotRead): Boolean {
    val published = state.published
    val beganBefore = event.read <= published.latestReadBefore
    return event.position.era < published.reads.era ||
        (beganBefore && event.position < published.position)
}

private fun reduceChanges(
    state: GatewayState,
    event: PublishedEvent.ChangesRead
): Step<GatewayState> {
    val answered = noteStoreAnswer(state, event.read)
    return when {
        !continuesRecords(state, event) ->
            answered.then { noteOutdated(it, event.position) }.then { readAfterFruitless(it) }

        event.changes.isEmpty() && answeredEarly(state, event.read) ->
            answered.then { readAfterFruitless(it) }

        event.changes.isEmpty() -> answered.then { startReadUnlessAwaited(withFruitfulAnswer(it)) }

        else -> answered.then { logChanges(withFruitfulAnswer(it), event) }
            .then { applyChanges(it, event.position, event.changes) }
            .then { keepChanges(it, event) }
            .then { readLater(it) }
    }
}

/**
 * Whether changes follow on the records in force without a gap, and are of the latest known era.
 * Changes after a position of an earlier era leave some out whose revisions were used before, also
 * if the store answered in the present era.
 */
private fun continuesRecords(state: GatewayState, event: PublishedEvent.ChangesRead): Boolean {
    val held = state.published.position
    val isOfOneEra = event.after.era == held.era && event.position.era == held.era
    return isOfOneEra && isOfLatestEra(state) && held in event.after..event.position
}

/** Logs and counts records that are dropped because newer ones are in force. */
private fun noteOutdated(state: GatewayState, position: StorePosition): Step<GatewayState> =
    state.step(
        logEffect(
            LogEvent.RECORDS_OUTDATED,
            "revision" to position.revision,
            "era" to position.era,
            "held" to state.published.position.revision,
            "held_era" to state.published.position.era,
            "unchanged" to state.published.appliedAt?.let { state.common.now - it }
        ),
        countRead(READ_OUTDATED)
    )

/** Replaces all records by those of a full read [from] the store or another gateway. */
internal fun applySnapshot(
    state: GatewayState,
    from: String,
    position: StorePosition,
    records: List<PublishedRecord>,
    items: ReadItems
): Step<GatewayState> = beginRestoreIfBack(state, position)
    .then { removeUnlisted(it, records) }
    .then { applyListed(it, position, records) }
    .then { keepAll(it, records, items) }
    .then { if (state.published.position == StorePosition.NONE) beginCautiously(it) else it.step() }
    .then {
        it.step(
            logEffect(
                LogEvent.RECORDS_READ,
                "from" to from,
                "revision" to position.revision,
                "era" to position.era,
                "version" to it.published.table?.version,
                "records" to records.size,
                "endpoints" to it.endpoints.size
            )
        )
    }

private fun applyListed(
    state: GatewayState,
    position: StorePosition,
    records: List<PublishedRecord>
): Step<GatewayState> {
    val (older, usable) = records.partition { isOlderThanKnown(state, it) }
    return state.step()
        .thenEach(older.filterIsInstance<PublishedRecord.Endpoint>()) { next, listed ->
            skipOlder(next, listed.record)
        }
        .then { applyChanges(it, position, usable) }
}

/**
 * Removes endpoints, and marks of data centres as out, that a full read no longer lists. After the
 * store came back from a copy, such a mark stays until it is removed or had the time to be written
 * again.
 */
private fun removeUnlisted(
    state: GatewayState,
    records: List<PublishedRecord>
): Step<GatewayState> {
    val listed = records.filterIsInstance<PublishedRecord.Endpoint>().map { it.record.id }.toSet()
    val listedOut =
        records.filterIsInstance<PublishedRecord.DataCentreOut>().map { it.dataCentre }.toSet()
    val notOut = if (state.isRestoring) emptyList() else state.published.dataCentresOut - listedOut
    return state.step()
        .thenEach(state.endpoints.keys.filterNot { it in listed }) { next, id ->
            removeEndpoint(next, id)
        }
        .thenEach(notOut) { next, dataCentre -> takeDataCentreBack(next, dataCentre) }
}

private fun logChanges(state: GatewayState, event: PublishedEvent.ChangesRead): Step<GatewayState> {
    if (event.changes.isEmpty()) return state.step()
    return state.step(
        logEffect(
            LogEvent.CHANGES_READ,
            "before" to state.published.position.revision,
            "revision" to event.revision,
            "era" to event.era.era,
            "changes" to event.changes.size
        )
    )
}

private fun applyChanges(
    state: GatewayState,
    position: StorePosition,
    records: List<PublishedRecord>
): Step<GatewayState> = state.step()
    .thenEach(records) { next, record -> applyRecord(next, record) }
    .then { withPosition(it, position).step() }
    .then { withReadableChanges(it).step() }

private fun withPosition(state: GatewayState, position: StorePosition): GatewayState = state.copy(
    published = state.published.copy(
        position = position,
        latestReadBefore = state.published.reads.latest,
        appliedAt = state.common.now
    )
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
internal fun acceptTable(state: GatewayState, record: PublishedRecord.Table): Step<GatewayState> {
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
