/*
 * Control messages between an entry and an agent, as plain data.
 *
 * The module gypsumroute-wire encodes them. Prompts and answers are sent in data frames instead,
 * which never reach the control thread.
 */
package org.gypsumroute.api

import kotlin.time.Duration

/** A control message between an entry and an agent. */
sealed interface PeerMessage {
    /**
     * Entries send heartbeats at an interval, without a [summary]. The agent answers each with a
     * [summary] of its endpoint. [documentsHash] is a hash of the stamps of all documents that the
     * sender accepted, so that a difference shows.
     */
    data class Heartbeat(val documentsHash: Long, val summary: EndpointSummary?) : PeerMessage

    /** Stamps of documents that the sender accepted: of all, or of one that just changed. */
    data class DocumentVersions(val stamps: Map<ServiceId, DocumentStamp>) : PeerMessage

    /** Asks the receiver for the document of one service that it accepted. */
    data class DocumentRequest(val service: ServiceId) : PeerMessage

    /** The bytes of one document. */
    data class DocumentOffer(val service: ServiceId, val content: DocumentContent) : PeerMessage

    /** An entry asks an agent for a lease. */
    data class GrantRequest(val order: WorkOrder) : PeerMessage

    /** The endpoint reserved memory and a slot, until [lapsesAfter] is over without a dispatch. */
    data class GrantIssued(
        val lease: LeaseId,
        val lapsesAfter: Duration,
        val summary: EndpointSummary
    ) : PeerMessage

    /** The work waits in the endpoint's queue, for about [expectedWait]. */
    data class GrantQueued(val lease: LeaseId, val expectedWait: Duration) : PeerMessage

    /** The endpoint did not run the work, and won't. */
    data class GrantRefused(
        val lease: LeaseId,
        val failure: Failure,
        val summary: EndpointSummary
    ) : PeerMessage

    /**
     * Starts the work of a granted lease; the body follows in data frames. [imports] are the
     * key-value caches of the prompt's earlier segments.
     */
    data class Dispatch(
        val lease: LeaseId,
        val bodyBytes: Bytes,
        val outputLimit: Tokens,
        val imports: List<SegmentHandle>
    ) : PeerMessage

    /**
     * The entry no longer needs the lease. Depending on its progress, the agent withdraws it,
     * cancels its work or releases the key-value cache that it exported.
     */
    data class LeaseRelease(val lease: LeaseId) : PeerMessage

    /** Renews all leases that the entry still needs from this agent. */
    data class LeaseRenewal(val leases: List<LeaseId>) : PeerMessage

    /** The prefill of a segment is done, and its key-value cache is exported as [handle]. */
    data class SegmentReady(val lease: LeaseId, val handle: SegmentHandle) : PeerMessage

    /**
     * The work of a lease failed after dispatch, or the agent doesn't know the lease (any more).
     */
    data class WorkFailed(val lease: LeaseId, val failure: Failure) : PeerMessage

    /** Asks the agent of a plain service to issue an action key to an organisation. */
    data class ActionKeyRequest(
        val request: RequestId,
        val service: ServiceId,
        val organisation: OrganisationId
    ) : PeerMessage

    /** The agent issued an action key. */
    data class ActionKeyIssued(val request: RequestId, val key: ActionKey) : PeerMessage
}
