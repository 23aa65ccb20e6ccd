package org.gypsumroute.platform

/** A call that delivers a stream's events. */
fun interface EngineStream {
    /** Stops reading. The engine goes on: cancelling its work is an order of its own. */
    fun stopReading()
}
