/*
 * From which other gateway records are read while the store does not answer.
 */
package org.gypsumroute.core.gateway.records

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.HostId
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.Revision
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.readyHarness
import org.gypsumroute.core.gateway.reportFrom

class PeerRecordsReducerTest {
    private val harness = readyHarness(endpointOf("e1"))

    private fun report(host: String, sequence: Long, revision: Long) =
        harness.feed(reportFrom(host, sequence, revision = Revision(revision)))

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
}
