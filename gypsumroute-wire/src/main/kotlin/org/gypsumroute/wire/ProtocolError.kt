package org.gypsumroute.wire

/** Why bytes from a peer were rejected. [detail] is safe to log. */
data class ProtocolError(val detail: String)
