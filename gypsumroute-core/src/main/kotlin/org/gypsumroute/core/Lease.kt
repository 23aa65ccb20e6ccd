package org.gypsumroute.core

import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkOrder

/**
 * One lease of the entry process [peer] with incarnation [peerIncarnation].
 *
 * [deadline] is the caller's. [expiresAt] is the end of the grant or of the lease time unless it
 * is renewed; for a queued lease, the next check whether its entry is still connected.
 * [latestStart] is the last moment at which the work can begin and still meet the deadline.
 * [nextCheckAt] is the earliest entry of this lease in the ordered deadlines. [replayedLease] is the lease
 * whose recorded answer this one repeats.
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

    /** When this lease has to be looked at again if nothing else happens. */
    val dueAt: Moment
        get() = when (phase) {
            LeasePhase.QUEUED -> minOf(latestStart, expiresAt)
            LeasePhase.ENDED -> expiresAt
            else -> minOf(deadline, expiresAt)
        }
}
