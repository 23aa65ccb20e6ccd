package org.gypsumroute.test

/**
 * An event of the simulated engine. [at] is its time in milliseconds; `callId` identifies the call
 * that waits for the answer.
 */
sealed interface EngineSimulationEvent {
    val at: Long

    /** A call opens a stream; [prompt] is the digest of its body. */
    data class Open(
        override val at: Long,
        val callId: Long,
        val id: String,
        val prompt: PromptDigest,
        val outputLimit: Int,
        val priority: Int,
        val export: Boolean
    ) : EngineSimulationEvent

    /** A call cancels a stream. */
    data class Cancel(override val at: Long, val callId: Long, val id: String) :
        EngineSimulationEvent

    /** A call releases a handle. */
    data class Release(override val at: Long, val callId: Long, val handle: String) :
        EngineSimulationEvent

    /** A call asks for a model to be loaded or for a change of role. */
    data class Order(
        override val at: Long,
        val callId: Long,
        val fencing: Long,
        val load: LoadedModel?,
        val role: String?
    ) : EngineSimulationEvent

    /** The next step of prefill and decoding is due. */
    data class StepDue(override val at: Long) : EngineSimulationEvent

    /** A test replaces the injected faults. */
    data class SetFaults(override val at: Long, val callId: Long, val faults: EngineFaults) :
        EngineSimulationEvent

    /** A test makes the engine cold for its next [tokens] tokens of prefill. */
    data class TurnCold(override val at: Long, val callId: Long, val tokens: Long) :
        EngineSimulationEvent
}

/**
 * What the simulation keeps of a prompt: its length, the number of the first token to generate,
 * and the digests of its complete blocks.
 */
data class PromptDigest(val tokens: Long, val nextTokenNumber: Long, val blockDigests: List<Long>)
