package org.gypsumroute.clients

/** A call that delivers a stream's events. */
fun interface EngineStream {
    /**
     * Stops reading; the last event is then a failure. The engine goes on: cancelling its work is
     * a call of its own.
     */
    fun stopReading()
}
