package org.gypsumroute.api

/** Effects on connections between processes. */
sealed interface PeerEffect : Effect {
    /** Opens a fresh connection to a peer, beside any existing one. */
    data class Connect(val record: HostRecord) : PeerEffect

    /** Closes a connection. */
    data class Disconnect(val connection: ConnectionId) : PeerEffect

    /** Sends a control message on a connection; lost if the connection breaks. */
    data class Send(val connection: ConnectionId, val message: PeerMessage) : PeerEffect
}
