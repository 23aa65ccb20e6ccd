package org.gypsumroute.api

import kotlin.time.Duration

/** Events from an agent's engine or plain service. */
sealed interface EngineEvent : Event {
    /** The engine reported its state. Reports lag behind, and may lack the newest streams. */
    data class StateRead(val state: EngineState) : EngineEvent

    /** A read of the engine's state failed. */
    data class Unreachable(val cause: String) : EngineEvent

    /** The whole prompt of a dispatched lease is in the agent's memory. */
    data class BodyReceived(val lease: LeaseId) : EngineEvent

    /** The engine produced the first token of a lease's stream, [elapsed] after it was opened. */
    data class FirstToken(val lease: LeaseId, val elapsed: Duration) : EngineEvent

    /** The engine ended the stream itself and freed its memory. */
    data class StreamEnded(val lease: LeaseId, val tokens: Tokens) : EngineEvent

    /** The engine finished a segment's prefill and holds its key-value cache under [handle]. */
    data class SegmentExported(
        val lease: LeaseId,
        val handle: SegmentHandle,
        val elapsed: Duration
    ) : EngineEvent

    /**
     * Opening or reading a stream failed. [reached] is false if the engine certainly never took the
     * work on.
     */
    data class StreamFailed(val lease: LeaseId, val reached: Boolean, val cause: String) :
        EngineEvent

    /** The engine confirmed that it no longer holds anything of the stream. */
    data class CancelConfirmed(val lease: LeaseId) : EngineEvent

    /** The engine confirmed that it no longer holds the handle. */
    data class HandleReleased(val handle: HandleId) : EngineEvent

    /** The plain service answered, and the answer is being sent to the entry. */
    data class CallEnded(val lease: LeaseId, val status: Int) : EngineEvent

    /** A call of the plain service failed. [reached] is false if no byte was written to it. */
    data class CallFailed(val lease: LeaseId, val reached: Boolean, val cause: String) : EngineEvent

    /** The engine accepted or refused an order; [cause] is empty if it accepted. */
    data class OrderAnswered(val fencing: FencingNumber, val accepted: Boolean, val cause: String) :
        EngineEvent

    /** Changes of the engine's prefix cache, with the sequence numbers [first] to [last]. */
    data class CacheChanged(
        val first: Long,
        val last: Long,
        val added: List<PrefixDigest>,
        val removed: List<PrefixDigest>
    ) : EngineEvent
}
