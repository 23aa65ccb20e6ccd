/*
 * CBOR records of control messages. A label is never given to another field, and a new field needs
 * a new label and a default value, so that processes of different versions understand each other.
 * Durations are in whole microseconds.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.gypsumroute.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

@Serializable
internal class SummaryRecord(
    @CborLabel(label = 1) val engineMemory: Long,
    @CborLabel(label = 2) val freeMemory: Long,
    @CborLabel(label = 3) val warmShare: Double,
    @CborLabel(label = 4) val runningStreams: Int,
    @CborLabel(label = 5) val queued: Int,
    @CborLabel(label = 6) val expectedWait: Long,
    @CborLabel(label = 7) val accepting: Boolean
)

@Serializable
internal class FailureRecord(
    @CborLabel(label = 1) val kind: String,
    @CborLabel(label = 2) val detail: String,
    @CborLabel(label = 3) val runState: String,
    @CborLabel(label = 4) val retryAfter: Long? = null
)

@Serializable
internal class HandleRecord(
    @CborLabel(label = 1) val handle: String,
    @CborLabel(label = 2) val engineAddress: String,
    @CborLabel(label = 3) val tokens: Long
)

@Serializable
internal class HeartbeatRecord(
    @CborLabel(label = 1) val documentsHash: Long,
    @CborLabel(label = 2) val summary: SummaryRecord? = null
)

@Serializable
internal class StampRecord(
    @CborLabel(label = 1) val service: String,
    @CborLabel(label = 2) val version: Long,
    @ByteString @CborLabel(label = 3) val digest: ByteArray
)

@Serializable
internal class DocumentVersionsRecord(@CborLabel(label = 1) val stamps: List<StampRecord>)

@Serializable
internal class DocumentRequestRecord(@CborLabel(label = 1) val service: String)

/** [content] is the document, compressed with [deflate]. */
@Serializable
internal class DocumentOfferRecord(
    @CborLabel(label = 1) val service: String,
    @ByteString @CborLabel(label = 2) val content: ByteArray
)

@Serializable
internal class GrantRequestRecord(
    @CborLabel(label = 1) val lease: String,
    @CborLabel(label = 2) val request: String,
    @CborLabel(label = 3) val service: String,
    @CborLabel(label = 4) val organisation: String,
    @CborLabel(label = 5) val lengthClass: String,
    @CborLabel(label = 6) val kind: Int,
    @CborLabel(label = 7) val promptTokens: Long,
    @CborLabel(label = 8) val outputLimit: Long,
    @CborLabel(label = 9) val remaining: Long,
    @CborLabel(label = 10) val prefix: Long? = null,
    @CborLabel(label = 11) val groupIndex: Int? = null,
    @CborLabel(label = 12) val groupMembers: Int? = null,
    @CborLabel(label = 13) val actionKey: String? = null,
    @CborLabel(label = 14) val path: String? = null
)

@Serializable
internal class GrantIssuedRecord(
    @CborLabel(label = 1) val lease: String,
    @CborLabel(label = 2) val lapsesAfter: Long,
    @CborLabel(label = 3) val summary: SummaryRecord
)

@Serializable
internal class GrantQueuedRecord(
    @CborLabel(label = 1) val lease: String,
    @CborLabel(label = 2) val expectedWait: Long
)

@Serializable
internal class GrantRefusedRecord(
    @CborLabel(label = 1) val lease: String,
    @CborLabel(label = 2) val failure: FailureRecord,
    @CborLabel(label = 3) val summary: SummaryRecord
)

@Serializable
internal class DispatchRecord(
    @CborLabel(label = 1) val lease: String,
    @CborLabel(label = 2) val bodyBytes: Long,
    @CborLabel(label = 3) val outputLimit: Long,
    @CborLabel(label = 4) val imports: List<HandleRecord> = emptyList()
)

@Serializable
internal class LeaseReleaseRecord(@CborLabel(label = 1) val lease: String)

@Serializable
internal class LeaseRenewalRecord(@CborLabel(label = 1) val leases: List<String>)

@Serializable
internal class SegmentReadyRecord(
    @CborLabel(label = 1) val lease: String,
    @CborLabel(label = 2) val handle: HandleRecord
)

@Serializable
internal class WorkFailedRecord(
    @CborLabel(label = 1) val lease: String,
    @CborLabel(label = 2) val failure: FailureRecord
)

@Serializable
internal class ActionKeyRequestRecord(
    @CborLabel(label = 1) val request: String,
    @CborLabel(label = 2) val service: String,
    @CborLabel(label = 3) val organisation: String
)

@Serializable
internal class ActionKeyIssuedRecord(
    @CborLabel(label = 1) val request: String,
    @CborLabel(label = 2) val key: String
)
