package org.gypsumroute.api

/** What the entry's answer buffers report. Token bytes stay outside the reducer. */
sealed interface AnswerEvent : Event {
    /** The first chunk of a lease's answer arrived. */
    data class FirstToken(val request: RequestId, val lease: LeaseId) : AnswerEvent

    /** Totals at a mark: tokens delivered in order, and bytes held for the caller now. */
    data class Progress(
        val request: RequestId,
        val lease: LeaseId,
        val tokens: Tokens,
        val heldBytes: Bytes
    ) : AnswerEvent

    /** The end frame and all chunks before it arrived. */
    data class Completed(
        val request: RequestId,
        val lease: LeaseId,
        val tokens: Tokens,
        val heldBytes: Bytes
    ) : AnswerEvent
}
