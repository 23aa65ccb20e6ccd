package org.gypsumroute.core.peers

import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.EndpointSummary
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.Moment

/**
 * State of the connection to one peer.
 *
 * [connection] is null while there is none. [heartbeatUnansweredSince] is the time of the first
 * heartbeat that has not been answered yet. [silentSince] is set from the first missed heartbeats,
 * the close of the connection or a failed attempt to connect until the next message or connection
 * from the peer.
 */
data class PeerLink(
    val peer: HostId,
    val connection: ConnectionId? = null,
    val incarnation: IncarnationId? = null,
    val summary: EndpointSummary? = null,
    val lastSent: Moment = Moment.START,
    val lastReceived: Moment = Moment.START,
    val heartbeatUnansweredSince: Moment? = null,
    val connecting: Boolean = false,
    val failedAttempts: Int = 0,
    val silentSince: Moment? = null
)
