package org.gypsumroute.wire

import org.gypsumroute.api.PeerMessage

/** Bytes that a control message takes on a connection, frame header included. */
fun encodedFrameBytes(message: PeerMessage): Int = encodeControl(message).size
