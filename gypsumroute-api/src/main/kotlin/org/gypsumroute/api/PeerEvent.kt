package org.gypsumroute.api

/** Events of connections between processes. */
sealed interface PeerEvent : Event {
    /** The handshake of a new connection succeeded; any earlier connection is obsolete. */
    data class Connected(
        val peer: HostId,
        val connection: ConnectionId,
        val incarnation: IncarnationId,
        val role: NodeRole,
        val dataCentre: DataCentreId
    ) : PeerEvent

    /** A connection closed or an attempt to open one failed ([connection] is null). */
    data class Disconnected(val peer: HostId, val connection: ConnectionId?, val cause: String) :
        PeerEvent

    /** A control message arrived. */
    data class Received(val peer: HostId, val connection: ConnectionId, val message: PeerMessage) :
        PeerEvent
}
