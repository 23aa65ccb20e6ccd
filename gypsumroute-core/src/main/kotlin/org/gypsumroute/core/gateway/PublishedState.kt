package org.gypsumroute.core.gateway

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.Revision
import org.gypsumroute.api.RoutingTable

/**
 * What was read of the published records besides the endpoints.
 *
 * [failures] counts the reads of the store that failed since one ended well, at [lastRead].
 * Meanwhile [askingPeer] tells that another gateway was asked. Records of [lapsed] endpoints were
 * removed around an outage of the store and may return until [returnsUntil].
 */
data class PublishedState(
    val revision: Revision = Revision.NONE,
    val table: RoutingTable? = null,
    val routes: RouteIndex = RouteIndex.EMPTY,
    val dataCentresOut: PersistentSet<DataCentreId> = persistentSetOf(),
    val failures: Int = 0,
    val askingPeer: Boolean = false,
    val lastRead: Moment = Moment.START,
    val lapsed: PersistentSet<EndpointId> = persistentSetOf(),
    val returnsUntil: Moment = Moment.START
) {
    /** How the latest read ended. */
    val storeReachable: Boolean get() = failures == 0
}
