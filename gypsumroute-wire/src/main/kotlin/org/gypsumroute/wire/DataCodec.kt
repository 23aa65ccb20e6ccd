/*
 * Encodes data frames and decodes their bodies.
 */
package org.gypsumroute.wire

import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Tokens

/**
 * Encodes [frame] as a complete frame. Throws IllegalArgumentException if the payload exceeds
 * [MAX_DATA_PAYLOAD_BYTES].
 */
internal fun encodeData(frame: DataFrame): ByteArray = when (frame) {
    is DataFrame.PromptChunk -> encodeFrame(
        FrameKind.PROMPT_CHUNK,
        PromptChunkRecord(frame.lease.value, frame.sequence, checkPayload(frame.bytes), frame.last)
    )

    is DataFrame.AnswerChunk -> encodeFrame(
        FrameKind.ANSWER_CHUNK,
        AnswerChunkRecord(
            frame.lease.value,
            frame.sequence,
            frame.tokens.count,
            checkPayload(frame.bytes)
        )
    )

    is DataFrame.AnswerEnd -> encodeFrame(
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
        encodeFrame(
            FrameKind.ANSWER_RESUME,
            AnswerPositionRecord(frame.lease.value, frame.nextSequence)
        )

    is DataFrame.AnswerAcknowledge ->
        encodeFrame(
            FrameKind.ANSWER_ACKNOWLEDGE,
            AnswerPositionRecord(frame.lease.value, frame.nextSequence)
        )
}

/**
 * Decodes the body of a frame of [kind]. Returns null if the kind is not a data frame; throws if
 * the body does not match its kind.
 */
internal fun decodeDataBody(kind: FrameKind, body: ByteArray): DataFrame? = when (kind) {
    FrameKind.PROMPT_CHUNK -> decodeBody<PromptChunkRecord>(body)
        .run { DataFrame.PromptChunk(LeaseId(lease), sequence, checkPayload(bytes), last) }

    FrameKind.ANSWER_CHUNK -> decodeBody<AnswerChunkRecord>(body).run {
        DataFrame.AnswerChunk(LeaseId(lease), sequence, Tokens(tokens), checkPayload(bytes))
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

private fun checkPayload(bytes: ByteArray): ByteArray = bytes.also {
    require(it.size <= MAX_DATA_PAYLOAD_BYTES) {
        "data payload of ${it.size} bytes exceeds $MAX_DATA_PAYLOAD_BYTES"
    }
}
