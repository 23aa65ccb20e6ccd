package org.gypsumroute.api

/** Effects on connections between entries and agents. */
sealed interface PeerEffect : Effect {
    /** Opens a new connection to a peer; an existing one stays open. */
    data class Connect(val record: HostRecord) : PeerEffect

    /** Closes a connection. */
    data class Disconnect(val connection: ConnectionId) : PeerEffect

    /** Sends a control message on a connection. The message is lost if the connection breaks. */
    data class Send(val connection: ConnectionId, val message: PeerMessage) : PeerEffect
}
