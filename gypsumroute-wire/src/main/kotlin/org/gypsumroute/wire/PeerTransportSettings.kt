package org.gypsumroute.wire

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of a transport.
 *
 * [controlQueueCapacity] bounds the control messages that wait for a peer that has stopped reading;
 * a message beyond it closes the connection. [flushTimeout] is how long a closing connection may go
 * on sending its queued control messages.
 */
data class PeerTransportSettings(
    val connectTimeout: Duration = 2.seconds,
    val handshakeTimeout: Duration = 2.seconds,
    val flushTimeout: Duration = 1.seconds,
    val maxInboundConnections: Int = 1024,
    val controlQueueCapacity: Int = 4096,
    val socketBufferBytes: Int = SOCKET_BUFFER_BYTES
)

/**
 * Bounds the data that a control frame waits for. Large enough for 1 Gbit/s at a round-trip time of
 * 2 ms.
 */
private const val SOCKET_BUFFER_BYTES = 256 * 1024
