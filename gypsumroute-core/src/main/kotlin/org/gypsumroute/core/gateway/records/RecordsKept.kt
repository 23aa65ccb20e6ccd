/*
 * Which of the records that were read are kept to be served to other gateways: those in force.
 */
package org.gypsumroute.core.gateway.records

import org.gypsumroute.api.KeptRecords
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReadItems
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.step

/** Keeps the records of a full read. */
internal fun keepAll(
    state: GatewayState,
    records: List<PublishedRecord>,
    items: ReadItems
): Step<GatewayState> = keep(
    state,
    items,
    if (lacksTableInForce(state, records)) KeptRecords.ALL_BUT_TABLE else KeptRecords.ALL
)

/** Keeps the records of changes. */
internal fun keepChanges(
    state: GatewayState,
    event: PublishedEvent.ChangesRead
): Step<GatewayState> = keep(
    state,
    event.items,
    if (lacksTableInForce(state, event.changes)) {
        KeptRecords.CHANGED_BUT_TABLE
    } else {
        KeptRecords.CHANGED
    }
)

/** Keeps the table of records that are otherwise no newer. */
internal fun keepTable(state: GatewayState, items: ReadItems): Step<GatewayState> =
    keep(state, items, KeptRecords.TABLE)

/** Whether the table in force is not among these records. */
private fun lacksTableInForce(state: GatewayState, records: List<PublishedRecord>): Boolean {
    val listed = records.filterIsInstance<PublishedRecord.Table>().lastOrNull()
    return state.published.table?.version != listed?.table?.version
}

private fun keep(state: GatewayState, items: ReadItems, kept: KeptRecords): Step<GatewayState> =
    state.step(PublishedEffect.KeepRecords(state.published.position, items, kept))
