package org.gypsumroute.wire

import org.gypsumroute.api.PeerMessage

/**
 * Receives the events of connections. Implementations must return at once, so that a slow consumer
 * never delays a heartbeat.
 */
interface PeerReceiver {
    /** The handshake succeeded. Called before any other function for this connection. */
    fun onConnected(connection: PeerConnection)

    /** A control message arrived. */
    fun onControlMessage(connection: PeerConnection, message: PeerMessage)

    /** A data frame arrived. */
    fun onDataFrame(connection: PeerConnection, frame: DataFrame)

    /** The connection ended because of [cause]. Called once, as the last function. */
    fun onClosed(connection: PeerConnection, cause: String)
}
