package org.gypsumroute.agent

import java.io.IOException
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.wire.DataFrame
import org.gypsumroute.wire.PeerConnection
import org.gypsumroute.wire.PeerHello

/** A connection that records the data frames sent on it, and fails to send while not [isOpen]. */
internal class FakeConnection(number: Long) : PeerConnection {
    val sent = mutableListOf<DataFrame>()
    var isOpen = true
    override val id = ConnectionId(number)
    override val peer = PeerHello(
        HostId("entry-1"),
        IncarnationId("incarnation"),
        NodeRole.ENTRY,
        DataCentreId("thamel")
    )

    fun sentSequences(): List<Int> = sent.filterIsInstance<DataFrame.AnswerChunk>().map {
        it.sequence
    }

    override fun sendControl(message: PeerMessage): Boolean = isOpen

    override suspend fun sendData(frame: DataFrame) {
        if (!isOpen) throw IOException("closed")
        sent += frame
    }

    override fun close() {
        isOpen = false
    }
}
