package org.gypsumroute.core.groups

import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.GroupSegment
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind

/**
 * A group of endpoints of one data centre that serve one long prompt together. [members] are in
 * host id order; [handles] refer to the segments that members have processed so far.
 */
data class GroupPlan(
    val dataCentre: DataCentreId,
    val members: List<GroupMember>,
    val handles: List<SegmentHandle> = emptyList()
)

/**
 * One endpoint of a group, which processes a segment of [tokens] tokens. [lease] is null until the
 * endpoint has granted it.
 */
data class GroupMember(val host: HostId, val tokens: Tokens, val lease: LeaseId? = null)

/** What the lease of one member of a group is requested for. */
internal data class MemberRequest(val kind: WorkKind, val tokens: Tokens, val segment: GroupSegment)
