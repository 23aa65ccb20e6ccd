package org.gypsumroute.wire

/** Frames and their bytes, length fields included, in one direction and class. */
data class FrameTotals(val frames: Long, val bytes: Long)

/** What a transport sent and received since it was created, handshakes not counted. */
data class TransportTotals(
    val controlSent: FrameTotals,
    val controlReceived: FrameTotals,
    val dataSent: FrameTotals,
    val dataReceived: FrameTotals
)
