/*
 * Frames that carry prompt and answer bytes. They pass between traffic threads only.
 */
package org.gypsumroute.wire

import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Tokens

/** A frame of one lease's prompt or answer. Byte arrays are not changed after creation. */
sealed interface DataFrame {
    val lease: LeaseId

    /** Part of a request's body; [sequence] counts from zero, [last] marks the final part. */
    class PromptChunk(
        override val lease: LeaseId,
        val sequence: Int,
        val bytes: ByteArray,
        val last: Boolean
    ) : DataFrame

    /** Part of an answer; [sequence] counts from zero, [tokens] are in this part alone. */
    class AnswerChunk(
        override val lease: LeaseId,
        val sequence: Int,
        val tokens: Tokens,
        val bytes: ByteArray
    ) : DataFrame

    /**
     * The end mark: an answer is whole when [chunks] chunks and this frame arrived. [status] is
     * the HTTP status of a plain service's answer, 200 for a generated one.
     */
    data class AnswerEnd(
        override val lease: LeaseId,
        val chunks: Int,
        val finishReason: String,
        val status: Int,
        val contentType: String
    ) : DataFrame

    /** Asks the agent to send the answer again from chunk [nextSequence] on. */
    data class AnswerResume(override val lease: LeaseId, val nextSequence: Int) : DataFrame

    /** All chunks before [nextSequence] arrived; the agent may drop them. */
    data class AnswerAcknowledge(override val lease: LeaseId, val nextSequence: Int) : DataFrame
}
