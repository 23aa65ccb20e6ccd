package org.gypsumroute.wire

import org.gypsumroute.api.PeerMessage

/**
 * Takes what arrives on connections. All functions return at once, so that a heartbeat never waits
 * behind a consumer.
 */
interface PeerReceiver {
    /** The handshake succeeded; nothing arrived yet. */
    fun onConnected(connection: PeerConnection)

    /** A control message arrived. */
    fun onControlMessage(connection: PeerConnection, message: PeerMessage)

    /** A data frame arrived. */
    fun onDataFrame(connection: PeerConnection, frame: DataFrame)

    /** The connection ended; called once. */
    fun onClosed(connection: PeerConnection, cause: String)
}
