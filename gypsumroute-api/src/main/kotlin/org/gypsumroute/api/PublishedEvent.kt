package org.gypsumroute.api

/**
 * Results of reading the published records: the routing table, the endpoints, and the data centres
 * that operators took out of service.
 */
sealed interface PublishedEvent : Event {
    /**
     * All records as of [revision], which replace those known before. [from] is the gateway that
     * they were read from, or null for the store.
     */
    data class SnapshotRead(
        val from: HostId?,
        val revision: Revision,
        val records: List<PublishedRecord>
    ) : PublishedEvent

    /** The records that changed after the requested revision, up to [revision]. */
    data class ChangesRead(val revision: Revision, val changes: List<PublishedRecord>) :
        PublishedEvent

    /** The store no longer holds the changes after the requested revision. */
    data object HistoryLost : PublishedEvent

    /**
     * A read failed. [from] is the gateway that was asked, or null for the store. If the store
     * answered and the answer could not be read, [repeatable] is false: the same read would get the
     * same answer again, or a longer one.
     */
    data class ReadFailed(val from: HostId?, val cause: String, val repeatable: Boolean = true) :
        PublishedEvent
}
