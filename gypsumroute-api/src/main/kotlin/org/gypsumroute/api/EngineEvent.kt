package org.gypsumroute.api

import kotlin.time.Duration

/** What the agent's engine and plain service clients report. */
sealed interface EngineEvent : Event {
    /** The engine's own view. Reports lag: they may miss the newest streams. */
    data class StateRead(val state: EngineState) : EngineEvent

    /** The engine did not answer a state read. */
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

    /** Opening or reading a stream failed. [reached] is false if the engine never saw the work. */
    data class StreamFailed(val lease: LeaseId, val reached: Boolean, val cause: String) :
        EngineEvent

    /** The engine confirmed that it holds nothing of the stream any more. */
    data class CancelConfirmed(val lease: LeaseId) : EngineEvent

    /** The engine confirmed that it no longer holds the handle. */
    data class HandleReleased(val handle: HandleId) : EngineEvent

    /** A plain service answered; the answer is on its way to the entry. */
    data class CallEnded(val lease: LeaseId, val status: Int) : EngineEvent

    /** A plain service's call failed. [reached] is false if no byte was written to it. */
    data class CallFailed(val lease: LeaseId, val reached: Boolean, val cause: String) : EngineEvent

    /** The engine took or refused an order. */
    data class OrderAnswered(val fencing: FencingNumber, val accepted: Boolean, val cause: String) :
        EngineEvent

    /** Prefix cache events arrived with sequence numbers [first] to [last]. */
    data class CacheChanged(
        val first: Long,
        val last: Long,
        val added: List<PrefixDigest>,
        val removed: List<PrefixDigest>
    ) : EngineEvent
}
