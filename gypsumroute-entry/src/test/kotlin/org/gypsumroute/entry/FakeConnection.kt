package org.gypsumroute.entry

import java.util.concurrent.LinkedBlockingQueue
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.wire.DataFrame
import org.gypsumroute.wire.PeerConnection
import org.gypsumroute.wire.PeerHello

/** A connection that records the data frames sent on it. */
internal class FakeConnection(override val id: ConnectionId) : PeerConnection {
    val sent = LinkedBlockingQueue<DataFrame>()
    override val peer = PeerHello(
        HostId("agent-1"),
        IncarnationId("1"),
        NodeRole.AGENT,
        DataCentreId("thamel")
    )

    override fun sendControl(message: PeerMessage): Boolean = true

    override suspend fun sendData(frame: DataFrame) {
        sent.add(frame)
    }

    override fun close() = Unit
}
