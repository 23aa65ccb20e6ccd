/*
 * Short texts of records and events for the trace of a run.
 */
package org.gypsumroute.core.gateway.records

import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord

internal fun textOf(record: EndpointRecord): String =
    "${record.id}@${record.startedAt?.milliseconds}.${record.sequence}" +
        (if (record.leaving) " leaving" else "")

internal fun textOf(record: PublishedRecord?): String = when (record) {
    is PublishedRecord.Table -> "version ${record.table.version}"
    is PublishedRecord.Endpoint -> textOf(record.record)
    null -> "deleted"
    else -> record.toString()
}

internal fun textOf(event: PublishedEvent): String = when (event) {
    is PublishedEvent.SnapshotRead ->
        "full read ${event.read} at ${event.revision} ${event.era} ${event.records.map(::textOf)}"

    is PublishedEvent.ChangesRead ->
        "changes ${event.read} after ${event.after} to ${event.revision} ${event.era} " +
            "${event.changes.map(::textOf)}"

    is PublishedEvent.PeerRecordsRead ->
        "records of ${event.peer} at ${event.position} ${event.records.map(::textOf)}"

    else -> event.toString()
}
