package org.gypsumroute.api

/** Effects on the engine or plain service of an agent, and on the data that the agent keeps. */
sealed interface EngineEffect : Effect {
    /** Prepares for the data frames that carry the body of a dispatched lease. */
    data class ReceiveBody(val lease: LeaseId, val bytes: Bytes) : EngineEffect

    /** Starts generation; the answer goes to the entry in data frames. */
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

    /** Cancels a stream. Answered by `CancelConfirmed`, unless the cancellation is lost. */
    data class CancelStream(val lease: LeaseId) : EngineEffect

    /** Releases an exported key-value cache. */
    data class ReleaseHandle(val handle: HandleId) : EngineEffect

    /** Calls the plain service. The HTTP client never retries the call. */
    data class CallService(val lease: LeaseId, val path: String) : EngineEffect

    /** Sends the [recorded] answer of an earlier action again, as the answer of [lease]. */
    data class ReplayAnswer(val recorded: LeaseId, val lease: LeaseId) : EngineEffect

    /** Frees body and answer buffers of a lease. */
    data class ForgetLease(val lease: LeaseId) : EngineEffect

    /** Reads the engine's state; answered by `StateRead` or `Unreachable`. */
    data object ReadState : EngineEffect

    /** Orders the engine to load a model; answered by `OrderAnswered`. */
    data class LoadModel(val model: EngineModel, val fencing: FencingNumber) : EngineEffect
}
