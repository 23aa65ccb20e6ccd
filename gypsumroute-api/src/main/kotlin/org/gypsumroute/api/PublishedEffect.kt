package org.gypsumroute.api

import kotlin.time.Duration

/** Effects on the published records. Each is answered by one `PublishedEvent`. */
sealed interface PublishedEffect : Effect {
    /** Reads all records from the store. */
    data object ReadSnapshot : PublishedEffect

    /** Waits up to [wait] for changes after [revision]; an empty answer is an answer. */
    data class WatchChanges(val revision: Revision, val wait: Duration) : PublishedEffect

    /** Reads all records that another gateway holds. */
    data class ReadFromPeer(val peer: HostId, val address: EndpointAddress) : PublishedEffect
}
