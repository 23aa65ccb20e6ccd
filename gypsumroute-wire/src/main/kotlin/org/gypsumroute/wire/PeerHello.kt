package org.gypsumroute.wire

import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.NodeRole

/** Identity that a process sends in the handshake. */
data class PeerHello(
    val host: HostId,
    val incarnation: IncarnationId,
    val role: NodeRole,
    val dataCentre: DataCentreId
)
