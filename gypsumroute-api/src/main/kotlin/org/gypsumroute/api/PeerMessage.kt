/*
 * Control messages between an entry and an agent, as plain data.
 *
 * The encoding is the business of gypsumroute-wire. Prompt and answer bytes travel in data frames
 * that the control thread never sees.
 */
package org.gypsumroute.api

import kotlin.time.Duration

/** A control message between two processes. */
sealed interface PeerMessage {
    /** Sent at an interval in both directions; [documentsHash] covers all known document stamps. */
    data class Heartbeat(val documentsHash: Long, val summary: EndpointSummary?) : PeerMessage

    /** The stamps of all documents the sender accepted. */
    data class DocumentVersions(val stamps: Map<ServiceId, DocumentStamp>) : PeerMessage

    /** Asks for the sender's accepted document of one service. */
    data class DocumentRequest(val service: ServiceId) : PeerMessage

    /** The bytes of one document. */
    data class DocumentOffer(val service: ServiceId, val content: DocumentContent) : PeerMessage

    /** Asks for a lease. */
    data class GrantRequest(val order: WorkOrder) : PeerMessage

    /** The endpoint reserved memory and a slot; the grant lapses after [lapsesAfter]. */
    data class GrantIssued(
        val lease: LeaseId,
        val lapsesAfter: Duration,
        val summary: EndpointSummary
    ) : PeerMessage

    /** The request waits in the endpoint's queue. */
    data class GrantQueued(val lease: LeaseId, val expectedWait: Duration) : PeerMessage

    /** The endpoint did not and will not run the work. */
    data class GrantRefused(
        val lease: LeaseId,
        val failure: Failure,
        val summary: EndpointSummary
    ) : PeerMessage

    /** Starts a granted lease's work; data frames follow. [imports] are earlier segments. */
    data class Dispatch(
        val lease: LeaseId,
        val bodyBytes: Bytes,
        val outputLimit: Tokens,
        val imports: List<SegmentHandle>
    ) : PeerMessage

    /** The entry no longer wants the lease: withdraws it, cancels its work or frees its handle. */
    data class LeaseRelease(val lease: LeaseId) : PeerMessage

    /** All leases that the entry still wants from this agent; renews each. */
    data class LeaseRenewal(val leases: List<LeaseId>) : PeerMessage

    /** A segment's prefill is done and its key-value cache is exported. */
    data class SegmentReady(val lease: LeaseId, val handle: SegmentHandle) : PeerMessage

    /** The work of a lease failed after dispatch, or the lease is not known (any more). */
    data class WorkFailed(val lease: LeaseId, val failure: Failure) : PeerMessage

    /** Asks an agent of a plain service to issue an action key to an organisation. */
    data class ActionKeyRequest(
        val request: RequestId,
        val service: ServiceId,
        val organisation: OrganisationId
    ) : PeerMessage

    /** The issued key. */
    data class ActionKeyIssued(val request: RequestId, val key: ActionKey) : PeerMessage
}
