/*
 * A routing table that the store lost when it came back from an older copy, and that other gateways
 * still have. Guards against a gateway that restarts then and goes back to an older table.
 */
package org.gypsumroute.core.gateway.records

import kotlin.test.Test
import kotlin.test.assertEquals
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.KeptRecords
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.TableVersion
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.positionOf
import org.gypsumroute.core.gateway.reportFrom
import org.gypsumroute.core.gateway.sampleTable

class LostTableTest {
    private val peer = HostId("10.0.0.2")

    /** A gateway that started after the return and read the older table of the copy. */
    private val harness = GatewayHarness().apply {
        feed(RuntimeEvent.Started)
        feedSnapshot(tableOfVersion(4), listOf(endpointOf("e1")), revision = 7, era = 2)
    }

    private fun tableOfVersion(version: Long) = sampleTable.copy(version = TableVersion(version))

    private fun report(revision: Long, era: Long, version: Long?) = harness.feed(
        reportFrom(peer.value, position = positionOf(revision, era), tableVersion = version)
    )

    private fun peerReads() = harness.effects.filterIsInstance<PublishedEffect.ReadFromPeer>()

    @Test
    fun `a later table is read from a gateway whose records are not newer`() {
        report(revision = 7, era = 2, version = 9)
        assertEquals(peer, peerReads().single().peer)
        val records = listOf(
            PublishedRecord.Table(tableOfVersion(9)),
            PublishedRecord.Endpoint(endpointOf("e2"))
        )
        harness.feed(PublishedEvent.PeerRecordsRead(peer, positionOf(7, era = 2), records))
        assertEquals(TableVersion(9), harness.state.published.table?.version)
        assertEquals(setOf(EndpointId("e1")), harness.state.endpoints.keys, "the others stay")
        assertEquals(positionOf(7, era = 2), harness.state.published.position)
        val kept = harness.effects.filterIsInstance<PublishedEffect.KeepRecords>().single()
        assertEquals(KeptRecords.TABLE, kept.kept)
    }

    @Test
    fun `the same holds for a gateway that has not heard of the return`() {
        report(revision = 43, era = 1, version = 9)
        assertEquals(1, peerReads().size)
    }

    /** Else each new table would be read from other gateways as well as from the store. */
    @Test
    fun `a later table is not read from a gateway whose records are newer`() {
        report(revision = 8, era = 2, version = 9)
        assertEquals(emptyList(), peerReads())
    }

    @Test
    fun `no table is read if none is later`() {
        for (version in listOf(null, 3L, 4L)) {
            report(revision = 7, era = 2, version = version)
            assertEquals(emptyList(), peerReads(), "version $version")
        }
    }

    @Test
    fun `a table that is no longer later does not replace the one in force`() {
        report(revision = 7, era = 2, version = 9)
        harness.feedChanges(PublishedRecord.Table(tableOfVersion(12)))
        val records = listOf(PublishedRecord.Table(tableOfVersion(9)))
        harness.feed(PublishedEvent.PeerRecordsRead(peer, positionOf(7, era = 2), records))
        assertEquals(TableVersion(12), harness.state.published.table?.version)
        assertEquals(
            emptyList(),
            harness.effects.filterIsInstance<PublishedEffect.KeepRecords>()
        )
    }
}
