package org.gypsumroute.clients

import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.Tokens

/** What an engine's stream delivers. All but [Chunk] are the last event of their stream. */
sealed interface EngineStreamEvent {
    /** Text generated; chunks are numbered from zero. */
    class Chunk(val number: Int, val text: ByteArray, val tokens: Tokens) : EngineStreamEvent

    /** Generation ended after [chunks] chunks. */
    data class Ended(val chunks: Int, val tokens: Tokens) : EngineStreamEvent

    /** The prefill ended and its key-value cache is held by the engine. */
    data class Exported(val handle: SegmentHandle) : EngineStreamEvent

    /** The stream failed or broke off; it may be resumed if the engine still runs it. */
    data class Failed(val failure: ClientFailure) : EngineStreamEvent
}
