package org.gypsumroute.wire

import java.util.concurrent.atomic.LongAdder

/** Counts the frames of all connections of a transport, by direction and class. */
internal class TransportCounters {
    val controlSent = FrameCounter()
    val controlReceived = FrameCounter()
    val dataSent = FrameCounter()
    val dataReceived = FrameCounter()

    fun totals() = TransportTotals(
        controlSent.totals(),
        controlReceived.totals(),
        dataSent.totals(),
        dataReceived.totals()
    )
}

/** Counts frames and bytes of one direction (sent, received) and class (control, data). */
internal class FrameCounter {
    private val frames = LongAdder()
    private val bytes = LongAdder()

    fun add(frameBytes: Int) {
        frames.increment()
        bytes.add(frameBytes.toLong())
    }

    fun totals() = FrameTotals(frames.sum(), bytes.sum())
}
