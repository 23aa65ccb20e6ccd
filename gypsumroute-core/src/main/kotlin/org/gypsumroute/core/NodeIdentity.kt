package org.gypsumroute.core

import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.RegionId

/** Identity of this process, from its settings. The [pool] is set for agents only. */
data class NodeIdentity(
    val host: HostId,
    val incarnation: IncarnationId,
    val role: NodeRole,
    val region: RegionId,
    val dataCentre: DataCentreId,
    val pool: PoolId? = null
)
