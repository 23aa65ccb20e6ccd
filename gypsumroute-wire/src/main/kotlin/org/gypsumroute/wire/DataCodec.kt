/*
 * Mapping between data frames and bytes.
 */
package org.gypsumroute.wire

import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Tokens

/** Throws IllegalArgumentException if the payload exceeds [MAX_DATA_PAYLOAD_BYTES]. */
internal fun encodeData(frame: DataFrame): ByteArray = when (frame) {
    is DataFrame.PromptChunk -> frameOf(
        FrameKind.PROMPT_CHUNK,
        PromptChunkRecord(frame.lease.value, frame.sequence, checked(frame.bytes), frame.last)
    )

    is DataFrame.AnswerChunk -> frameOf(
        FrameKind.ANSWER_CHUNK,
        AnswerChunkRecord(
            frame.lease.value,
            frame.sequence,
            frame.tokens.count,
            checked(frame.bytes)
        )
    )

    is DataFrame.AnswerEnd -> frameOf(
        FrameKind.ANSWER_END,
        AnswerEndRecord(
            frame.lease.value,
            frame.chunks,
            frame.finishReason,
            frame.status,
            frame.contentType
        )
    )

    is DataFrame.AnswerResume ->
        frameOf(FrameKind.ANSWER_RESUME, AnswerPositionRecord(frame.lease.value, frame.nextSequence))

    is DataFrame.AnswerAcknowledge ->
        frameOf(FrameKind.ANSWER_ACKNOWLEDGE, AnswerPositionRecord(frame.lease.value, frame.nextSequence))
}

/** Null if the frame is not a data frame; throws for a body that does not fit its kind. */
internal fun decodeDataBody(kind: FrameKind, body: ByteArray): DataFrame? = when (kind) {
    FrameKind.PROMPT_CHUNK -> decodeBody<PromptChunkRecord>(body)
        .run { DataFrame.PromptChunk(LeaseId(lease), sequence, checked(bytes), last) }

    FrameKind.ANSWER_CHUNK -> decodeBody<AnswerChunkRecord>(body).run {
        DataFrame.AnswerChunk(LeaseId(lease), sequence, Tokens(tokens), checked(bytes))
    }

    FrameKind.ANSWER_END -> decodeBody<AnswerEndRecord>(body).run {
        DataFrame.AnswerEnd(LeaseId(lease), chunks, finishReason, status, contentType)
    }

    FrameKind.ANSWER_RESUME -> decodeBody<AnswerPositionRecord>(body)
        .run { DataFrame.AnswerResume(LeaseId(lease), nextSequence) }

    FrameKind.ANSWER_ACKNOWLEDGE -> decodeBody<AnswerPositionRecord>(body)
        .run { DataFrame.AnswerAcknowledge(LeaseId(lease), nextSequence) }

    else -> null
}

private fun checked(bytes: ByteArray): ByteArray = bytes.also {
    require(it.size <= MAX_DATA_PAYLOAD_BYTES) {
        "data payload of ${it.size} bytes exceeds $MAX_DATA_PAYLOAD_BYTES"
    }
}
