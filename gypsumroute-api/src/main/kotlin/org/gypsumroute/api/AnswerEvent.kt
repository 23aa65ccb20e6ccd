package org.gypsumroute.api

/**
 * Progress of answers in the entry's answer buffers; the answers' bytes never enter the reducer.
 */
sealed interface AnswerEvent : Event {
    /** The first chunk of a lease's answer arrived. */
    data class FirstToken(val request: RequestId, val lease: LeaseId) : AnswerEvent

    /**
     * The answer advanced: so far [tokens] of the lease arrived in order, and [heldBytes] wait for
     * the caller to read them. Reported once for a number of chunks and when [heldBytes] changed
     * considerably, since each event takes time of the control thread.
     */
    data class Progress(
        val request: RequestId,
        val lease: LeaseId,
        val tokens: Tokens,
        val heldBytes: Bytes
    ) : AnswerEvent

    /** The answer is complete: its end frame and all chunks before that arrived. */
    data class Completed(
        val request: RequestId,
        val lease: LeaseId,
        val tokens: Tokens,
        val heldBytes: Bytes
    ) : AnswerEvent
}
