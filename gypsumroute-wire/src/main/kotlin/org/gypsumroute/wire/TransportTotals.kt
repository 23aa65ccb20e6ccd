package org.gypsumroute.wire

/** Number of frames of one direction and class, and their bytes including length fields. */
data class FrameTotals(val frames: Long, val bytes: Long)

/** Frames that a transport sent and received since it was created, without handshakes. */
data class TransportTotals(
    val controlSent: FrameTotals,
    val controlReceived: FrameTotals,
    val dataSent: FrameTotals,
    val dataReceived: FrameTotals
)
