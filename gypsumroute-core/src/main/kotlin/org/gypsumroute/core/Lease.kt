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
 * [deadline] is the caller's. [liveUntil] is the end of the grant or of the lease time unless it
 * is renewed; for a queued lease, the next check whether its entry is still connected.
 * [latestStart] is the last moment at which the work can begin and still meet the deadline.
 * [wakeAt] is the earliest entry of this lease in the ordered deadlines. [replays] is the lease
 * whose recorded answer this one repeats.
 */
data class Lease(
    val order: WorkOrder,
    val peer: HostId,
    val peerIncarnation: IncarnationId,
    val phase: LeasePhase,
    val askedAt: Moment,
    val deadline: Moment,
    val liveUntil: Moment,
    val latestStart: Moment,
    val wakeAt: Moment? = null,
    val outputLimit: Tokens = order.outputLimit,
    val imports: List<SegmentHandle> = emptyList(),
    val replays: LeaseId? = null
) {
    val id: LeaseId get() = order.lease

    /** When this lease has to be looked at again if nothing else happens. */
    val due: Moment
        get() = when (phase) {
            LeasePhase.QUEUED -> minOf(latestStart, liveUntil)
            LeasePhase.ENDED -> liveUntil
            else -> minOf(deadline, liveUntil)
        }
}
