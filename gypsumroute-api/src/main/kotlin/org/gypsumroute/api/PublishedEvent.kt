package org.gypsumroute.api

/**
 * Results of reading the published records: the routing table, the endpoints, and the data centres
 * that operators took out of service.
 */
sealed interface PublishedEvent : Event {
    /** A result of the [read] of the store. The [era] is null if the store has not answered. */
    sealed interface OfStore : PublishedEvent {
        val read: ReadId
        val era: AnsweredEra?
    }

    /** A part of the answer arrived, so the connection works. */
    data class ReadProgressed(override val read: ReadId) : OfStore {
        override val era: AnsweredEra? get() = null
    }

    /** All records as of [revision], which replace those known before. */
    data class SnapshotRead(
        override val read: ReadId,
        val revision: Revision,
        val records: List<PublishedRecord>,
        override val era: AnsweredEra = AnsweredEra.NONE,
        val items: ReadItems = ReadItems.NONE
    ) : OfStore {
        val position: StorePosition get() = StorePosition(era.era, revision)
    }

    /** The records that changed after the position [after], up to [revision]. */
    data class ChangesRead(
        override val read: ReadId,
        val after: StorePosition,
        val revision: Revision,
        val changes: List<PublishedRecord>,
        override val era: AnsweredEra = AnsweredEra.NONE,
        val items: ReadItems = ReadItems.NONE
    ) : OfStore {
        val position: StorePosition get() = StorePosition(era.era, revision)
    }

    /** The store does not have the changes after the requested revision. */
    data class HistoryLost(
        override val read: ReadId,
        override val era: AnsweredEra = AnsweredEra.NONE
    ) : OfStore

    /**
     * A read failed. If the store answered and the answer could not be read, [repeatable] is false:
     * the same read would get the same answer again, or a longer one.
     */
    data class ReadFailed(
        override val read: ReadId,
        val cause: String,
        val repeatable: Boolean = true,
        override val era: AnsweredEra? = null
    ) : OfStore

    /** All records that the gateway [peer] holds, as of [position]. */
    data class PeerRecordsRead(
        val peer: HostId,
        val position: StorePosition,
        val records: List<PublishedRecord>,
        val items: ReadItems = ReadItems.NONE
    ) : PublishedEvent

    /** The records of the gateway [peer] could not be read. */
    data class PeerReadFailed(val peer: HostId, val cause: String) : PublishedEvent
}
