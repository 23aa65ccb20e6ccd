package org.gypsumroute.clients

import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.Tokens

/** An event of an engine's stream. Each kind but [Chunk] is the last event of its stream. */
sealed interface EngineStreamEvent {
    /** Generated text of [tokens] tokens; chunks are numbered from zero. */
    class Chunk(val number: Int, val text: ByteArray, val tokens: Tokens) : EngineStreamEvent

    /** Generation ended after [chunks] chunks with [tokens] tokens. */
    data class Ended(val chunks: Int, val tokens: Tokens) : EngineStreamEvent

    /** The prefill ended, and the engine holds its key-value cache for import by [handle]. */
    data class Exported(val handle: SegmentHandle) : EngineStreamEvent

    /** The stream failed or was interrupted; it can be resumed if the engine still runs it. */
    data class Failed(val failure: ClientFailure) : EngineStreamEvent
}
