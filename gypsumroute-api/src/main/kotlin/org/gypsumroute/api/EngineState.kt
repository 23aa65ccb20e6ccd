package org.gypsumroute.api

/** An engine's own report about itself. */
data class EngineState(
    val incarnation: IncarnationId,
    val memory: Tokens,
    val usedMemory: Tokens,
    val streams: Map<LeaseId, Tokens>,
    val handles: Map<HandleId, Tokens>,
    val loaded: ModelSpec?,
    val highestFencing: FencingNumber
)
