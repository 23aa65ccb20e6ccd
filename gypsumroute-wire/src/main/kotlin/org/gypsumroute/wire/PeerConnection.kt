package org.gypsumroute.wire

import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.PeerMessage

/** An open connection to a peer that proved it knows the shared key. */
interface PeerConnection {
    val id: ConnectionId
    val peer: PeerHello

    /** Queues a control message ahead of data; never blocks. False if the connection is closed. */
    fun sendControl(message: PeerMessage): Boolean

    /** Sends a data frame; suspends while the socket is full. Throws IOException if closed. */
    suspend fun sendData(frame: DataFrame)

    /** Closes the connection; later calls have no effect. */
    fun close()
}
