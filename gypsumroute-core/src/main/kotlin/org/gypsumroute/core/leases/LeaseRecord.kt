package org.gypsumroute.core.leases

import org.gypsumroute.api.GroupSegment
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.WorkKind

/**
 * A lease that this entry has requested and not released.
 *
 * [hasOutput] is set once a part of the answer, or the cache of a segment, has arrived.
 * [groupSegment] is the lease's part of a grouped prompt, or null. [imports] are the caches of
 * other segments that the work starts from.
 */
data class LeaseRecord(
    val lease: LeaseId,
    val request: RequestId,
    val host: HostId,
    val incarnation: IncarnationId,
    val kind: WorkKind,
    val stage: LeaseStage = LeaseStage.ASKED,
    val hasOutput: Boolean = false,
    val groupSegment: GroupSegment? = null,
    val imports: List<SegmentHandle> = emptyList()
)

/** Progress of a lease as the entry knows it. */
enum class LeaseStage { ASKED, GRANTED, DISPATCHED }
