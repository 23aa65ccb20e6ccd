package org.gypsumroute.wire

/** Why a connection to a peer could not be opened; [detail] is safe to log. */
sealed interface PeerTransportError {
    val detail: String

    /** No TCP connection within the time limit. */
    data class Unreachable(override val detail: String) : PeerTransportError

    /** The peer broke the protocol, or its key differs. */
    data class HandshakeRefused(override val detail: String) : PeerTransportError

    /** The peer did not finish the handshake in time. */
    data class HandshakeTimeout(override val detail: String) : PeerTransportError
}
