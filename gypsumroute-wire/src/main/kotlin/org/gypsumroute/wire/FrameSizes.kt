package org.gypsumroute.wire

import org.gypsumroute.api.PeerMessage

/** Bytes that a control message takes on a connection, frame header included. */
fun frameBytes(message: PeerMessage): Int = encodeControl(message).size
