package org.gypsumroute.wire

import org.gypsumroute.api.PeerMessage

/**
 * Takes what arrives on connections. All functions return at once, so that a heartbeat never waits
 * behind a consumer.
 */
interface PeerReceiver {
    /** The handshake succeeded; nothing arrived yet. */
    fun connected(connection: PeerConnection)

    /** A control message arrived. */
    fun control(connection: PeerConnection, message: PeerMessage)

    /** A data frame arrived. */
    fun data(connection: PeerConnection, frame: DataFrame)

    /** The connection ended; called once. */
    fun closed(connection: PeerConnection, cause: String)
}
