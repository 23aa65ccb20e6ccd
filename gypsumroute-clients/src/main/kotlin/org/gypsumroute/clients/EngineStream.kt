package org.gypsumroute.clients

/** An open call that reads the events of an engine's stream. */
fun interface EngineStream {
    /**
     * Stops reading; the last event delivered is then [EngineStreamEvent.Failed]. The engine
     * continues the work, which only [EngineClient.cancel] stops.
     */
    fun stopReading()
}
