/*
 * Encodes control messages as frames and decodes frame bodies to control messages.
 */
package org.gypsumroute.wire

import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.DocumentContent
import org.gypsumroute.api.GroupSegment
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.LengthClassName
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PrefixDigest
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkOrder

/**
 * Encodes [message] as a complete frame. Throws IllegalArgumentException for a message that exceeds
 * a limit of the protocol.
 */
internal fun encodeControl(message: PeerMessage): ByteArray = when (message) {
    is PeerMessage.Heartbeat -> encodeFrame(
        FrameKind.HEARTBEAT,
        HeartbeatRecord(message.documentsHash, message.summary?.toRecord())
    )

    is PeerMessage.DocumentVersions -> encodeFrame(
        FrameKind.DOCUMENT_VERSIONS,
        DocumentVersionsRecord(message.stamps.map { (id, stamp) -> stampRecord(id, stamp) })
    )

    is PeerMessage.DocumentRequest ->
        encodeFrame(FrameKind.DOCUMENT_REQUEST, DocumentRequestRecord(message.service.value))

    is PeerMessage.DocumentOffer -> encodeFrame(
        FrameKind.DOCUMENT_OFFER,
        DocumentOfferRecord(message.service.value, deflate(message.content.bytes))
    )

    is PeerMessage.GrantRequest -> encodeFrame(FrameKind.GRANT_REQUEST, message.order.toRecord())

    is PeerMessage.GrantIssued -> encodeFrame(
        FrameKind.GRANT_ISSUED,
        GrantIssuedRecord(
            message.lease.value,
            message.lapsesAfter.toMicroseconds(),
            message.summary.toRecord()
        )
    )

    is PeerMessage.GrantQueued -> encodeFrame(
        FrameKind.GRANT_QUEUED,
        GrantQueuedRecord(message.lease.value, message.expectedWait.toMicroseconds())
    )

    is PeerMessage.GrantRefused -> encodeFrame(
        FrameKind.GRANT_REFUSED,
        GrantRefusedRecord(
            message.lease.value,
            message.failure.toRecord(),
            message.summary.toRecord()
        )
    )

    else -> encodeWorkMessage(message)
}

/** Encodes the messages that follow a grant, and those that issue action keys. */
private fun encodeWorkMessage(message: PeerMessage): ByteArray = when (message) {
    is PeerMessage.Dispatch -> encodeFrame(
        FrameKind.DISPATCH,
        DispatchRecord(
            message.lease.value,
            message.bodyBytes.count,
            message.outputLimit.count,
            message.imports.map { it.toRecord() }
        )
    )

    is PeerMessage.LeaseRelease ->
        encodeFrame(FrameKind.LEASE_RELEASE, LeaseReleaseRecord(message.lease.value))

    is PeerMessage.LeaseRenewal ->
        encodeFrame(FrameKind.LEASE_RENEWAL, LeaseRenewalRecord(message.leases.map { it.value }))

    is PeerMessage.SegmentReady -> encodeFrame(
        FrameKind.SEGMENT_READY,
        SegmentReadyRecord(message.lease.value, message.handle.toRecord())
    )

    is PeerMessage.WorkFailed -> encodeFrame(
        FrameKind.WORK_FAILED,
        WorkFailedRecord(message.lease.value, message.failure.toRecord())
    )

    is PeerMessage.ActionKeyRequest -> encodeFrame(
        FrameKind.ACTION_KEY_REQUEST,
        ActionKeyRequestRecord(
            message.request.value,
            message.service.value,
            message.organisation.value
        )
    )

    is PeerMessage.ActionKeyIssued -> encodeFrame(
        FrameKind.ACTION_KEY_ISSUED,
        ActionKeyIssuedRecord(message.request.value, message.key.value)
    )

    else -> error("message without an encoding: ${message::class.simpleName}")
}

/**
 * Decodes the body of a frame of [kind]. Returns null if the kind is not a control message; throws
 * if the body does not match its kind.
 */
internal fun decodeControlBody(kind: FrameKind, body: ByteArray): PeerMessage? = when (kind) {
    FrameKind.HEARTBEAT -> decodeBody<HeartbeatRecord>(body)
        .run { PeerMessage.Heartbeat(documentsHash, summary?.toSummary()) }

    FrameKind.DOCUMENT_VERSIONS -> decodeBody<DocumentVersionsRecord>(body).run {
        PeerMessage.DocumentVersions(stamps.associate { ServiceId(it.service) to it.toStamp() })
    }

    FrameKind.DOCUMENT_REQUEST -> decodeBody<DocumentRequestRecord>(body)
        .run { PeerMessage.DocumentRequest(ServiceId(service)) }

    FrameKind.DOCUMENT_OFFER -> decodeBody<DocumentOfferRecord>(body).run {
        PeerMessage.DocumentOffer(ServiceId(service), DocumentContent(inflate(content)))
    }

    FrameKind.GRANT_REQUEST ->
        PeerMessage.GrantRequest(decodeBody<GrantRequestRecord>(body).toWorkOrder())

    FrameKind.GRANT_ISSUED -> decodeBody<GrantIssuedRecord>(body).run {
        PeerMessage.GrantIssued(
            LeaseId(lease),
            durationOfMicroseconds(lapsesAfter),
            summary.toSummary()
        )
    }

    FrameKind.GRANT_QUEUED -> decodeBody<GrantQueuedRecord>(body)
        .run { PeerMessage.GrantQueued(LeaseId(lease), durationOfMicroseconds(expectedWait)) }

    FrameKind.GRANT_REFUSED -> decodeBody<GrantRefusedRecord>(body).run {
        PeerMessage.GrantRefused(LeaseId(lease), failure.toFailure(), summary.toSummary())
    }

    else -> decodeWorkMessage(kind, body)
}

private fun decodeWorkMessage(kind: FrameKind, body: ByteArray): PeerMessage? = when (kind) {
    FrameKind.DISPATCH -> decodeBody<DispatchRecord>(body).run {
        PeerMessage.Dispatch(
            LeaseId(lease),
            Bytes(bodyBytes),
            Tokens(outputLimit),
            imports.map { it.toHandle() }
        )
    }

    FrameKind.LEASE_RELEASE -> decodeBody<LeaseReleaseRecord>(body)
        .run { PeerMessage.LeaseRelease(LeaseId(lease)) }

    FrameKind.LEASE_RENEWAL -> decodeBody<LeaseRenewalRecord>(body)
        .run { PeerMessage.LeaseRenewal(leases.map { LeaseId(it) }) }

    FrameKind.SEGMENT_READY -> decodeBody<SegmentReadyRecord>(body)
        .run { PeerMessage.SegmentReady(LeaseId(lease), handle.toHandle()) }

    FrameKind.WORK_FAILED -> decodeBody<WorkFailedRecord>(body)
        .run { PeerMessage.WorkFailed(LeaseId(lease), failure.toFailure()) }

    FrameKind.ACTION_KEY_REQUEST -> decodeBody<ActionKeyRequestRecord>(body).run {
        PeerMessage.ActionKeyRequest(
            RequestId(request),
            ServiceId(service),
            OrganisationId(organisation)
        )
    }

    FrameKind.ACTION_KEY_ISSUED -> decodeBody<ActionKeyIssuedRecord>(body)
        .run { PeerMessage.ActionKeyIssued(RequestId(request), ActionKey(key)) }

    else -> null
}

private fun WorkOrder.toRecord() = GrantRequestRecord(
    lease = lease.value,
    request = request.value,
    service = service.value,
    organisation = organisation.value,
    lengthClass = lengthClass.value,
    kind = kind.toCode(),
    promptTokens = promptTokens.count,
    outputLimit = outputLimit.count,
    remaining = remaining.toMicroseconds(),
    prefix = prefix?.value,
    groupIndex = group?.index,
    groupMembers = group?.members,
    actionKey = actionKey?.value,
    path = path
)

private fun GrantRequestRecord.toWorkOrder() = WorkOrder(
    lease = LeaseId(lease),
    request = RequestId(request),
    service = ServiceId(service),
    organisation = OrganisationId(organisation),
    lengthClass = LengthClassName(lengthClass),
    kind = workKindOf(kind),
    promptTokens = Tokens(promptTokens),
    outputLimit = Tokens(outputLimit),
    remaining = durationOfMicroseconds(remaining),
    prefix = prefix?.let { PrefixDigest(it) },
    group = groupIndex?.let { GroupSegment(it, requireNotNull(groupMembers) { "no group size" }) },
    actionKey = actionKey?.let { ActionKey(it) },
    path = path
)
