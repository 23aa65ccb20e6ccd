package org.gypsumroute.wire

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of a transport.
 *
 * [controlQueue] bounds the messages that wait for a peer that stopped reading; the connection is
 * closed beyond it. [flushTime] is how long a closing connection may still send what is queued.
 */
data class PeerTransportSettings(
    val connectTime: Duration = 2.seconds,
    val handshakeTime: Duration = 2.seconds,
    val flushTime: Duration = 1.seconds,
    val inboundConnections: Int = 1024,
    val controlQueue: Int = 4096,
    val socketBufferBytes: Int = SOCKET_BUFFER_BYTES
)

/** Bounds the data ahead of a control frame; enough for 1 Gbit/s at a round trip of 2 ms. */
private const val SOCKET_BUFFER_BYTES = 256 * 1024
