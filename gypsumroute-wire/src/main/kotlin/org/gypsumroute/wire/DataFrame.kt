/*
 * Frames that carry the bytes of prompts and answers. Only traffic threads handle them; the control
 * thread never does.
 */
package org.gypsumroute.wire

import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Tokens

/** A frame of one lease's prompt or answer. Its byte arrays are not modified after creation. */
sealed interface DataFrame {
    val lease: LeaseId

    /** Part of a request's body. [sequence] counts from zero; [last] marks the final part. */
    class PromptChunk(
        override val lease: LeaseId,
        val sequence: Int,
        val bytes: ByteArray,
        val last: Boolean
    ) : DataFrame

    /** Part of an answer. [sequence] counts from zero; [tokens] counts this part's tokens only. */
    class AnswerChunk(
        override val lease: LeaseId,
        val sequence: Int,
        val tokens: Tokens,
        val bytes: ByteArray
    ) : DataFrame

    /**
     * Marks the end of an answer, which is complete once this frame and [chunks] chunks have
     * arrived. [status] is the HTTP status of a plain service's answer, or 200 for a generated one.
     */
    data class AnswerEnd(
        override val lease: LeaseId,
        val chunks: Int,
        val finishReason: String,
        val status: Int,
        val contentType: String
    ) : DataFrame

    /** Asks the agent to send the answer again, starting with chunk [nextSequence]. */
    data class AnswerResume(override val lease: LeaseId, val nextSequence: Int) : DataFrame

    /** Confirms that all chunks before [nextSequence] arrived, so that the agent may drop them. */
    data class AnswerAcknowledge(override val lease: LeaseId, val nextSequence: Int) : DataFrame
}
