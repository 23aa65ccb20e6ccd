/*
 * Converts the types that several messages contain to CBOR records and back. The conversions from
 * records throw IllegalArgumentException for values that no sender of this version produces.
 */
package org.gypsumroute.wire

import java.util.HexFormat
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import org.gypsumroute.api.DocumentDigest
import org.gypsumroute.api.DocumentStamp
import org.gypsumroute.api.DocumentVersion
import org.gypsumroute.api.EndpointSummary
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind

private const val SHA256_BYTES = 32
private val errorKindsByCode = ErrorKind.entries.associateBy { it.code }
private val runStatesByCode = RunState.entries.associateBy { it.code }

/** Encoded work kinds. A code is never given to another kind. */
private val workKindCodes = mapOf(
    WorkKind.GENERATION to 0,
    WorkKind.SEGMENT to 1,
    WorkKind.CALL to 2,
    WorkKind.ACTION to 3
)
private val workKindsByCode = workKindCodes.entries.associate { (kind, code) -> code to kind }

internal fun Duration.toMicroseconds(): Long = inWholeMicroseconds

internal fun durationOfMicroseconds(microseconds: Long): Duration =
    if (microseconds == Long.MAX_VALUE) Duration.INFINITE else microseconds.microseconds

internal fun WorkKind.toCode(): Int = workKindCodes.getValue(this)

internal fun workKindOf(code: Int): WorkKind =
    requireNotNull(workKindsByCode[code]) { "unknown kind of work $code" }

internal fun EndpointSummary.toRecord() = SummaryRecord(
    engineMemory = engineMemory.count,
    freeMemory = freeMemory.count,
    warmShare = warmShare,
    runningStreams = runningStreams,
    queued = queued,
    expectedWait = expectedWait.toMicroseconds(),
    accepting = accepting
)

internal fun SummaryRecord.toSummary() = EndpointSummary(
    engineMemory = Tokens(engineMemory),
    freeMemory = Tokens(freeMemory),
    warmShare = warmShare,
    runningStreams = runningStreams,
    queued = queued,
    expectedWait = durationOfMicroseconds(expectedWait),
    accepting = accepting
)

internal fun Failure.toRecord() =
    FailureRecord(kind.code, detail, runState.code, retryAfter?.toMicroseconds())

internal fun FailureRecord.toFailure() = Failure(
    kind = requireNotNull(errorKindsByCode[kind]) { "unknown error kind" },
    detail = detail,
    runState = requireNotNull(runStatesByCode[runState]) { "unknown run state" },
    retryAfter = retryAfter?.let { durationOfMicroseconds(it) }
)

internal fun SegmentHandle.toRecord() = HandleRecord(handle.value, engineAddress, tokens.count)

internal fun HandleRecord.toHandle() =
    SegmentHandle(HandleId(handle), engineAddress, Tokens(tokens))

internal fun stampRecord(service: ServiceId, stamp: DocumentStamp) =
    StampRecord(service.value, stamp.version.value, digestBytes(stamp.digest))

internal fun StampRecord.toStamp() = DocumentStamp(DocumentVersion(version), digestOf(digest))

private fun digestBytes(digest: DocumentDigest): ByteArray {
    val bytes = HexFormat.of().parseHex(digest.value)
    require(bytes.size == SHA256_BYTES) { "document digest is not $SHA256_BYTES bytes long" }
    return bytes
}

private fun digestOf(bytes: ByteArray): DocumentDigest {
    require(bytes.size == SHA256_BYTES) { "document digest is not $SHA256_BYTES bytes long" }
    return DocumentDigest(HexFormat.of().formatHex(bytes))
}
