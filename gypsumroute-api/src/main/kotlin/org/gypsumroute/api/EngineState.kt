package org.gypsumroute.api

/**
 * State of an engine as it reports it. [streams] and [handles] give the tokens that each holds in
 * the engine's memory. [highestFencing] is the highest fencing number that it accepted.
 */
data class EngineState(
    val incarnation: IncarnationId,
    val memory: Tokens,
    val usedMemory: Tokens,
    val streams: Map<LeaseId, Tokens>,
    val handles: Map<HandleId, Tokens>,
    val loaded: EngineModel?,
    val highestFencing: FencingNumber
)
