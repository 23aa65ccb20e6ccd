package org.gypsumroute.wire

import org.gypsumroute.api.PeerMessage

/** Bytes that a control message takes on a connection, including length field and frame header. */
fun encodedFrameBytes(message: PeerMessage): Int = encodeControl(message).size
