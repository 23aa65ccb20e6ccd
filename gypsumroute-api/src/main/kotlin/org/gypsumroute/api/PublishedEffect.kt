package org.gypsumroute.api

import kotlin.time.Duration

/**
 * Reads of the published records. Each ends with one `PublishedEvent`; before it, parts of an
 * answer of the store are reported as `ReadProgressed`.
 *
 * A read of the store on a `newConnection` uses none that is open, because those may be dead. The
 * `knownEra` is the latest era of the store that is known when the read begins.
 */
sealed interface PublishedEffect : Effect {
    /** Reads all records from the store. */
    data class ReadSnapshot(
        val read: ReadId,
        val newConnection: Boolean,
        val knownEra: StoreEra = StoreEra.NONE
    ) : PublishedEffect

    /**
     * Waits up to [wait] for changes after [revision]. If there are none, that is reported as an
     * empty `ChangesRead`, which shows that the store is reachable.
     */
    data class WatchChanges(
        val read: ReadId,
        val revision: Revision,
        val wait: Duration,
        val newConnection: Boolean,
        val knownEra: StoreEra = StoreEra.NONE
    ) : PublishedEffect

    /** Reads all records that the gateway [peer] holds, for times when the store is unreachable. */
    data class ReadFromPeer(val peer: HostId, val address: EndpointAddress) : PublishedEffect
}
