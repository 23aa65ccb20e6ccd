package org.gypsumroute.api

/** Events from the published records: routing table, endpoints, data centres taken out. */
sealed interface PublishedEvent : Event {
    /** All records as of [revision]; they replace what was known. [from] is null for the store. */
    data class SnapshotRead(
        val from: HostId?,
        val revision: Revision,
        val records: List<PublishedRecord>
    ) : PublishedEvent

    /** Records that changed after the revision that was asked for, up to [revision]. */
    data class ChangesRead(val revision: Revision, val changes: List<PublishedRecord>) :
        PublishedEvent

    /** The store no longer holds the changes that were asked for. */
    data object HistoryLost : PublishedEvent

    /** A read failed. [from] is null for the store. */
    data class ReadFailed(val from: HostId?, val cause: String) : PublishedEvent
}
