package org.gypsumroute.wire

import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.PeerMessage

/** An open connection to a peer that has proved in the handshake that it knows the shared key. */
interface PeerConnection {
    val id: ConnectionId
    val peer: PeerHello

    /**
     * Queues a control message, which is sent before waiting data frames. Never blocks. Returns
     * false if the connection is closed or the queue is full, which closes the connection.
     */
    fun sendControl(message: PeerMessage): Boolean

    /**
     * Sends a data frame. Suspends while the socket is full. Throws IOException if the connection
     * is closed.
     */
    suspend fun sendData(frame: DataFrame)

    /** Closes the connection. Further calls have no effect. */
    fun close()
}
