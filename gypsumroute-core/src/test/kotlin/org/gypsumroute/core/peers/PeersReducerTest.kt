package org.gypsumroute.core.peers

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.Moment
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.RegionId
import org.gypsumroute.core.agent
import org.gypsumroute.core.map
import org.gypsumroute.core.step
import org.gypsumroute.core.testCommon
import org.gypsumroute.core.testNode
import org.junit.jupiter.api.Test

/** Guards against dead connections that count as open, and uneven subsets of endpoints. */
class PeersReducerTest {
    private val peer = HostId("entry-9")

    // An agent whose only connection had gone silent counted as connected, so it never read
    // documents and kept an outdated one. Found by the fleet property with seed 77.
    @Test
    fun `an agent drops a connection without heartbeats`() {
        val link = PeerLink(peer, connection = ConnectionId(4), lastReceived = Moment.START)
        val agent = testCommon(testNode("agent-1", NodeRole.AGENT))
            .copy(peers = persistentMapOf(peer to link), now = Moment.START + 16.seconds)
        val step = dropSilentPeers(agent)
        assertTrue(step.state.peers.isEmpty())
        assertTrue(PeerEffect.Disconnect(ConnectionId(4)) in step.effects)
    }

    @Test
    fun `a pause of this process does not count as silence of its peers`() {
        val link =
            PeerLink(peer, connection = ConnectionId(4), heartbeatUnansweredSince = Moment.START)
        val paused = testCommon().copy(
            peers = persistentMapOf(peer to link),
            now = Moment.START + 60.seconds
        )
        val step = reducePeerTick(resetSilenceTracking(paused), setOf(peer))
        assertTrue(step.effects.none { it is PeerEffect.Connect })
    }

    @Test
    fun `in a large fleet every endpoint has three entries and every entry a group in each pool`() {
        val agents = (1..2_800).map { agent(it) }
        val entries = (1..330).map {
            agent(it).copy(host = HostId("entry-$it"), role = NodeRole.ENTRY)
        }
        val hosts = persistentMapOf<HostId, HostRecord>()
            .putAll((agents + entries).associateBy { it.host })
        val chosen = entries.map { entry ->
            chooseEndpoints(testCommon(testNode(entry.host.value)).copy(hosts = hosts))
        }
        val entriesPerEndpoint = chosen.flatten().groupingBy { it.host }.eachCount()
        assertEquals(agents.size, entriesPerEndpoint.size)
        assertTrue(entriesPerEndpoint.values.all { it >= 3 })
        val average = chosen.sumOf { it.size } / chosen.size
        assertTrue(average <= testCommon().timings.connectedEndpoints, "$average endpoints")
        for (subset in chosen) {
            val byPoolAndDataCentre = subset.groupBy { it.pool to it.dataCentre }
            val pools = byPoolAndDataCentre.filterValues { it.size >= 3 }
                .keys.map { it.first }.toSet()
            assertEquals(11, pools.size)
        }
    }

    private fun agent(number: Int) = HostRecord(
        HostId("agent-$number"),
        NodeRole.AGENT,
        RegionId("region-${number % 4}"),
        DataCentreId("dc-${number % 16}"),
        "127.0.0.1",
        1,
        PoolId("pool-${number / 16 % 11}")
    )
}
