package org.gypsumroute.core.gateway.records

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.Revision
import org.gypsumroute.api.RoutingTable

/**
 * The published records as read so far, except the endpoints, and the [reads] of the store. Records
 * were last taken over at [appliedAt], which is null if none were.
 *
 * [peerReadPending] tells whether a read from another gateway is in progress, and [failedPeer]
 * which one could not be read last. Records of [lapsedEndpoints] were removed around an outage of
 * the store; these endpoints are retained until [lapsedRetainedUntil], so that they can register
 * again.
 */
data class PublishedState(
    val revision: Revision = Revision.NONE,
    val table: RoutingTable? = null,
    val routes: RouteIndex = RouteIndex.EMPTY,
    val dataCentresOut: PersistentSet<DataCentreId> = persistentSetOf(),
    val reads: StoreReads = StoreReads(),
    val peerReadPending: Boolean = false,
    val failedPeer: HostId? = null,
    val lapsedEndpoints: PersistentSet<EndpointId> = persistentSetOf(),
    val lapsedRetainedUntil: Moment = Moment.START,
    val appliedAt: Moment? = null
) {
    /** Whether the latest read of the store succeeded. */
    val storeReachable: Boolean get() = reads.failures == 0
}
