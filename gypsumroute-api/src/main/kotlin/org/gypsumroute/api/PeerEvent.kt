package org.gypsumroute.api

/** Events of connections between entries and agents. */
sealed interface PeerEvent : Event {
    /** The handshake of a new connection succeeded, which replaces any earlier one to the peer. */
    data class Connected(
        val peer: HostId,
        val connection: ConnectionId,
        val incarnation: IncarnationId,
        val role: NodeRole,
        val dataCentre: DataCentreId
    ) : PeerEvent

    /** A connection closed, or could not be opened; [connection] is null in the latter case. */
    data class Disconnected(val peer: HostId, val connection: ConnectionId?, val cause: String) :
        PeerEvent

    /** A control message arrived. */
    data class Received(val peer: HostId, val connection: ConnectionId, val message: PeerMessage) :
        PeerEvent
}
