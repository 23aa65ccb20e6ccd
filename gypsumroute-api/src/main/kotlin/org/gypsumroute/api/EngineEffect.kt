package org.gypsumroute.api

/** Effects on the engine or plain service beside the agent. */
sealed interface EngineEffect : Effect {
    /** Expects the body of a dispatched lease in data frames. */
    data class ReceiveBody(val lease: LeaseId, val bytes: Bytes) : EngineEffect

    /** Starts generating; the answer goes to the entry as data frames. */
    data class OpenStream(
        val lease: LeaseId,
        val outputLimit: Tokens,
        val priority: Int,
        val imports: List<SegmentHandle>
    ) : EngineEffect

    /** Starts the prefill of a segment and exports its key-value cache. */
    data class PrefillSegment(
        val lease: LeaseId,
        val priority: Int,
        val imports: List<SegmentHandle>
    ) : EngineEffect

    /** Cancels a stream; answered by `CancelConfirmed`, unless the order is lost. */
    data class CancelStream(val lease: LeaseId) : EngineEffect

    /** Releases an exported key-value cache. */
    data class ReleaseHandle(val handle: HandleId) : EngineEffect

    /** Calls the plain service; never repeated by the client. */
    data class CallService(val lease: LeaseId, val path: String) : EngineEffect

    /** Sends a recorded answer of an earlier action again under a new lease. */
    data class ReplayAnswer(val recorded: LeaseId, val lease: LeaseId) : EngineEffect

    /** Frees body and answer buffers of a lease. */
    data class ForgetLease(val lease: LeaseId) : EngineEffect

    /** Reads the engine's state. */
    data object ReadState : EngineEffect

    /** Orders the engine to load a model. */
    data class LoadModel(val model: ModelSpec, val fencing: FencingNumber) : EngineEffect
}
