package org.gypsumroute.core.gateway.records

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.ReadId
import org.gypsumroute.api.RoutingTable
import org.gypsumroute.api.StorePosition

/**
 * The published records as read so far, except the endpoints, and the [reads] of the store. The
 * records in force have the [position]. When they were taken over, at [appliedAt], the latest read
 * that had begun was [latestReadBefore]; [appliedAt] is null if there are no records.
 *
 * [peerReadPending] tells whether a read from another gateway is in progress, the next of which may
 * begin at [nextPeerReadAt], and [failedPeer] which one could not be read last. Records of
 * [lapsedEndpoints] were removed around an outage of the store; these endpoints are retained until
 * [lapsedRetainedUntil], so that they can register again.
 *
 * After the store came back from an older copy, what it lacks is written again until
 * [restoreEndsAt]. [removedEndpoints] are those whose removal such a copy may lack.
 */
data class PublishedState(
    val position: StorePosition = StorePosition.NONE,
    val latestReadBefore: ReadId = ReadId.NONE,
    val table: RoutingTable? = null,
    val routes: RouteIndex = RouteIndex.EMPTY,
    val dataCentresOut: PersistentSet<DataCentreId> = persistentSetOf(),
    val reads: StoreReads = StoreReads(),
    val peerReadPending: Boolean = false,
    val nextPeerReadAt: Moment = Moment.START,
    val failedPeer: HostId? = null,
    val lapsedEndpoints: PersistentSet<EndpointId> = persistentSetOf(),
    val lapsedRetainedUntil: Moment = Moment.START,
    val appliedAt: Moment? = null,
    val restoreEndsAt: Moment = Moment.START,
    val removedEndpoints: PersistentMap<EndpointId, RemovedEndpoint> = persistentMapOf()
) {
    /** Whether the latest read of the store succeeded. */
    val storeReachable: Boolean get() = reads.failures == 0
}
