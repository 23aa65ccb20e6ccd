/*
 * From which other gateway records are read while the store does not answer.
 */
package org.gypsumroute.core.gateway.records

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.positionOf
import org.gypsumroute.core.gateway.readyHarness
import org.gypsumroute.core.gateway.reportFrom

class PeerRecordsReducerTest {
    private val harness = readyHarness(endpointOf("e1"))

    private fun report(host: String, sequence: Long, revision: Long) =
        harness.feed(reportFrom(host, sequence, position = positionOf(revision)))

    private fun asked() =
        harness.effects.filterIsInstance<PublishedEffect.ReadFromPeer>().map { it.peer.value }

    /**
     * Guards against old records in a gateway that the store turns away: it asked a gateway that
     * had ended again and again, because no other one had reported a later revision.
     */
    @Test
    fun `records are not read from a gateway that no longer reports`() {
        report("10.0.0.2", 1, 20)
        harness.advance(1.seconds)
        report("10.0.0.3", 1, 15)
        harness.advance(800.milliseconds)
        report("10.0.0.3", 2, 15)
        harness.feed(PublishedEvent.PeerReadFailed(HostId("10.0.0.2"), "connect timeout"))
        harness.failRead()
        assertEquals(listOf("10.0.0.3"), asked())
    }

    /** Guards against the same if only the records of the other gateway cannot be read. */
    @Test
    fun `after a failure, records are read from another gateway that has newer ones`() {
        report("10.0.0.2", 1, 20)
        report("10.0.0.3", 1, 15)
        harness.failRead()
        assertEquals(listOf("10.0.0.2"), asked())
        harness.feed(PublishedEvent.PeerReadFailed(HostId("10.0.0.2"), "timeout"))
        report("10.0.0.3", 2, 15)
        assertEquals(listOf("10.0.0.3"), asked())
        harness.feed(PublishedEvent.PeerReadFailed(HostId("10.0.0.3"), "timeout"))
        report("10.0.0.3", 3, 15)
        assertEquals(listOf("10.0.0.2"), asked())
    }

    @Test
    fun `a gateway that alone has newer records is asked again after a failure`() {
        report("10.0.0.2", 1, 20)
        harness.failRead()
        harness.feed(PublishedEvent.PeerReadFailed(HostId("10.0.0.2"), "timeout"))
        report("10.0.0.2", 2, 20)
        assertEquals(listOf("10.0.0.2"), asked())
    }

    /** Guards against older records of another gateway that replace those this gateway serves. */
    @Test
    fun `records that are no newer are neither taken over nor served`() {
        val before = harness.state
        for (position in listOf(before.published.position, positionOf(0))) {
            val records = listOf(PublishedRecord.EndpointRemoved(EndpointId("e1")))
            harness.feed(PublishedEvent.PeerRecordsRead(HostId("10.0.0.2"), position, records))
            assertEquals(before.endpoints, harness.state.endpoints)
            assertEquals(
                emptyList(),
                harness.effects.filterIsInstance<PublishedEffect.KeepRecords>()
            )
        }
    }

    /** Guards against a gateway that is put back by one which missed the store's return. */
    @Test
    fun `records of a later era are read although their revision is lower`() {
        report("10.0.0.2", 1, 20)
        harness.feed(reportFrom("10.0.0.3", 1, position = positionOf(3, era = 1)))
        harness.failRead()
        assertEquals(listOf("10.0.0.3"), asked())
        val added = listOf(PublishedRecord.Endpoint(endpointOf("e2")))
        harness.feed(
            PublishedEvent.PeerRecordsRead(HostId("10.0.0.3"), positionOf(3, era = 1), added)
        )
        assertEquals(positionOf(3, era = 1), harness.state.published.position)
        report("10.0.0.2", 2, 90)
        assertEquals(emptyList(), asked())
    }
}
