/*
 * CBOR records of data frames. A label is never given to another field.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.gypsumroute.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

@Serializable
internal class PromptChunkRecord(
    @CborLabel(label = 1) val lease: String,
    @CborLabel(label = 2) val sequence: Int,
    @ByteString @CborLabel(label = 3) val bytes: ByteArray,
    @CborLabel(label = 4) val last: Boolean = false
)

@Serializable
internal class AnswerChunkRecord(
    @CborLabel(label = 1) val lease: String,
    @CborLabel(label = 2) val sequence: Int,
    @CborLabel(label = 3) val tokens: Long,
    @ByteString @CborLabel(label = 4) val bytes: ByteArray
)

@Serializable
internal class AnswerEndRecord(
    @CborLabel(label = 1) val lease: String,
    @CborLabel(label = 2) val chunks: Int,
    @CborLabel(label = 3) val finishReason: String,
    @CborLabel(label = 4) val status: Int,
    @CborLabel(label = 5) val contentType: String
)

/** Record of both `AnswerResume` and `AnswerAcknowledge`. */
@Serializable
internal class AnswerPositionRecord(
    @CborLabel(label = 1) val lease: String,
    @CborLabel(2) val nextSequence: Int
)
