package org.gypsumroute.api

import kotlin.time.Duration

/** Reads of the published records. Each is answered by one `PublishedEvent`. */
sealed interface PublishedEffect : Effect {
    /** Reads all records from the store. */
    data class ReadSnapshot(val read: ReadId) : PublishedEffect

    /**
     * Waits up to [wait] for changes after [revision]. If there are none, that is reported as an
     * empty `ChangesRead`, which shows that the store is reachable.
     */
    data class WatchChanges(val read: ReadId, val revision: Revision, val wait: Duration) :
        PublishedEffect

    /** Reads all records that the gateway [peer] holds, for times when the store is unreachable. */
    data class ReadFromPeer(val peer: HostId, val address: EndpointAddress) : PublishedEffect
}
