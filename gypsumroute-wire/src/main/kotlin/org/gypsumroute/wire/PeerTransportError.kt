package org.gypsumroute.wire

/** Why a connection to a peer could not be established. [detail] is safe to log. */
sealed interface PeerTransportError {
    val detail: String

    /** The TCP connection failed or was not established within the time limit. */
    data class Unreachable(override val detail: String) : PeerTransportError

    /**
     * The peer broke the protocol, closed the connection or holds another key, or the limit of
     * inbound connections was reached.
     */
    data class HandshakeRefused(override val detail: String) : PeerTransportError

    /** The peer did not complete the handshake within the time limit. */
    data class HandshakeTimeout(override val detail: String) : PeerTransportError
}
