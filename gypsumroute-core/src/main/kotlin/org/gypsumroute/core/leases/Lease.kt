package org.gypsumroute.core.leases

import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkOrder

/**
 * A lease on this agent, held by the process of entry [peer] with incarnation [peerIncarnation].
 *
 * [deadline] is the deadline of the caller's request. [expiresAt] is the end of the grant or of the
 * lease time unless the lease is renewed; for a queued lease, it is the next check whether its
 * entry is still connected. [latestStart] is the last moment at which the work can begin and still
 * meet the deadline. [nextCheckAt] is the time of this lease's earliest entry in [LeaseDeadlines].
 * [replayedLease] is the earlier lease of the same action whose recorded answer is sent again.
 */
data class Lease(
    val order: WorkOrder,
    val peer: HostId,
    val peerIncarnation: IncarnationId,
    val phase: LeasePhase,
    val requestedAt: Moment,
    val deadline: Moment,
    val expiresAt: Moment,
    val latestStart: Moment,
    val nextCheckAt: Moment? = null,
    val outputLimit: Tokens = order.outputLimit,
    val imports: List<SegmentHandle> = emptyList(),
    val replayedLease: LeaseId? = null
) {
    val id: LeaseId get() = order.lease

    /** When the lease must be checked again if no event about it arrives first. */
    val dueAt: Moment
        get() = when (phase) {
            LeasePhase.QUEUED -> minOf(latestStart, expiresAt)
            LeasePhase.ENDED -> expiresAt
            else -> minOf(deadline, expiresAt)
        }
}
