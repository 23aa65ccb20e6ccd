/*
 * A store in memory that takes a copy at each revision, and can come back from one of them in the
 * next era, after which it assigns revisions again.
 */
package org.gypsumroute.core.gateway.records

import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReadItems
import org.gypsumroute.api.Revision
import org.gypsumroute.api.StoreEra
import org.gypsumroute.api.TableVersion

/** Key of an item of the store. */
internal sealed interface ItemKey {
    data object Table : ItemKey

    data class Endpoint(val id: EndpointId) : ItemKey

    data class DataCentre(val id: DataCentreId) : ItemKey
}

/** Records of one read by their keys; null for an item that was deleted. */
internal class ItemsRead(val values: Map<ItemKey, PublishedRecord?>) : ReadItems

/** The record that says that the item is gone, or null if no gateway uses that. */
internal fun removalOf(key: ItemKey): PublishedRecord? = when (key) {
    is ItemKey.Table -> null
    is ItemKey.Endpoint -> PublishedRecord.EndpointRemoved(key.id)
    is ItemKey.DataCentre -> PublishedRecord.DataCentreBack(key.id)
}

internal class CopiedStore {
    /** An item that was written or deleted at a revision. */
    private data class Change(val revision: Long, val key: ItemKey, val record: PublishedRecord?)

    /** The items as of one revision, copied at the time [at] in milliseconds. */
    internal class Copy(
        val at: Double,
        val revision: Long,
        val items: Map<ItemKey, PublishedRecord>
    )

    private val copies = ArrayList<Copy>()
    private val history = ArrayList<Change>()

    /** Changes up to this revision are dropped. */
    private var droppedUntil = FIRST_REVISION
    var items: Map<ItemKey, PublishedRecord> = emptyMap()
        private set
    var revision = FIRST_REVISION
        private set
    var era = StoreEra(1)
        private set

    val tableVersion: TableVersion?
        get() = (items[ItemKey.Table] as? PublishedRecord.Table)?.table?.version
    val endpoints: Map<EndpointId, EndpointRecord>
        get() = items.values.filterIsInstance<PublishedRecord.Endpoint>()
            .associate { it.record.id to it.record }
    val dataCentresOut: Set<DataCentreId>
        get() = items.values.filterIsInstance<PublishedRecord.DataCentreOut>()
            .map { it.dataCentre }.toSet()

    /** Writes a record, or deletes the item if it is null. */
    fun write(at: Double, key: ItemKey, record: PublishedRecord?) {
        revision++
        items = if (record == null) items - key else items + (key to record)
        history += Change(revision, key, record)
        copies += Copy(at, revision, items)
    }

    /** Copies that were taken since a time. */
    fun copiesSince(at: Double): List<Copy> = copies.filter { it.at >= at }

    /**
     * Comes back from [copy]. Items that no gateway reads are written [otherWrites] times at once,
     * so that revisions may pass those of before the return.
     */
    fun comeBack(copy: Copy, otherWrites: Long) {
        era = StoreEra(era.value + 1)
        items = copy.items
        revision = copy.revision + otherWrites
        history.removeAll { it.revision > copy.revision }
        droppedUntil = minOf(droppedUntil, copy.revision)
        copies.removeAll { it.at > copy.at }
        copies += Copy(copy.at, revision, items)
    }

    fun dropHistory() {
        droppedUntil = revision
        history.clear()
    }

    /** Whether a watch from a revision can be answered. */
    fun hasHistoryAfter(after: Revision): Boolean = after.value in droppedUntil..revision

    /** The latest change of each item after a revision. */
    fun changesAfter(after: Revision): Map<ItemKey, PublishedRecord?> =
        history.filter { it.revision > after.value }.associate { it.key to it.record }

    private companion object {
        const val FIRST_REVISION = 10L
    }
}
