package org.gypsumroute.core

import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.GroupSegment
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind

/** The endpoints that serve one long prompt together, in host id order. */
data class GroupPlan(
    val dataCentre: DataCentreId,
    val members: List<GroupMember>,
    val handles: List<SegmentHandle> = emptyList()
)

/** One endpoint of a group and its segment; [lease] is null until it was asked. */
data class GroupMember(val host: HostId, val tokens: Tokens, val lease: LeaseId? = null)

/** What one member of a group is asked for. */
internal data class MemberAsk(val kind: WorkKind, val tokens: Tokens, val share: GroupSegment)
