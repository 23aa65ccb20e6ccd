package org.gypsumroute.api

import kotlin.time.Duration

/**
 * Reads of the published records, and what is kept of them. Each read ends with one
 * `PublishedEvent`; before it, parts of an answer of the store are reported as `ReadProgressed`.
 *
 * A read of the store on a `newConnection` uses none that is open, because those may be dead.
 */
sealed interface PublishedEffect : Effect {
    /** A read, which ends with one event. */
    sealed interface Read : PublishedEffect

    /** Reads all records from the store, whose latest known era is [knownEra]. */
    data class ReadSnapshot(
        val read: ReadId,
        val newConnection: Boolean,
        val knownEra: StoreEra = StoreEra.NONE
    ) : Read

    /**
     * Waits up to [wait] for changes [after] a position in the latest known era. If there are none,
     * that is reported as an empty `ChangesRead`, which shows that the store is reachable.
     */
    data class WatchChanges(
        val read: ReadId,
        val after: StorePosition,
        val wait: Duration,
        val newConnection: Boolean
    ) : Read

    /** Reads all records that the gateway [peer] holds, for times when the store is unreachable. */
    data class ReadFromPeer(val peer: HostId, val address: EndpointAddress) : Read

    /** Keeps [items] of a read, which are in force as of [position], to serve them to others. */
    data class KeepRecords(
        val position: StorePosition,
        val items: ReadItems,
        val kept: KeptRecords
    ) : PublishedEffect
}
