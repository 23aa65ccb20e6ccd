package org.gypsumroute.core.gateway.records

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.TableVersion
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.positionOf
import org.gypsumroute.core.gateway.readyHarness
import org.gypsumroute.core.gateway.reportFrom
import org.gypsumroute.core.gateway.sampleTable

class PublishedReducerTest {
    private fun GatewayHarness.knownEndpoints() = state.endpoints.keys.map { it.value }.toSet()

    private fun report(revision: Long, storeAnswerAge: Duration? = null) = reportFrom(
        "10.0.0.2",
        revision,
        position = positionOf(revision),
        storeAnswerAge = storeAnswerAge
    )

    @Test
    fun `a gateway is ready once it has a routing table`() {
        val harness = GatewayHarness().apply { feed(RuntimeEvent.Started) }
        assertTrue(harness.readsAll())
        harness.feedSnapshot(null, listOf(endpointOf("e1")))
        assertFalse(harness.state.common.ready)
        harness.feedChanges(PublishedRecord.Table(sampleTable))
        assertTrue(RuntimeEffect.SetReady(true) in harness.effects)
    }

    @Test
    fun `each read is followed by a watch for changes after the last revision`() {
        val harness = readyHarness(endpointOf("e1"))
        val watch = harness.effects.filterIsInstance<PublishedEffect.WatchChanges>().single()
        assertEquals(harness.state.published.position, watch.after)
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e2")))
        assertEquals(setOf("e1", "e2"), harness.knownEndpoints())
        harness.advance(10.milliseconds)
        val next = harness.effects.filterIsInstance<PublishedEffect.WatchChanges>().single()
        assertEquals(positionOf(watch.after.revision.value + 1), next.after)
    }

    /**
     * The pattern of many changes at many gateways, such as a release: each change would otherwise
     * wake all gateways at once. A change must still be in force within seconds.
     */
    @Test
    fun `with many gateways, changes in quick succession are read together`() {
        val harness = readyHarness(endpointOf("e1"))
        (2..200).forEach { harness.feed(reportFrom("10.0.${it / 100}.${it % 100}")) }
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e2")))
        assertEquals(emptyList(), harness.watches())
        harness.advance(390.milliseconds)
        assertEquals(emptyList(), harness.watches())
        harness.advance(10.milliseconds)
        assertEquals(1, harness.watches().size)
        harness.feedChanges()
        assertEquals(1, harness.watches().size)
    }

    private fun GatewayHarness.readsAll() = effects.any { it is PublishedEffect.ReadSnapshot }

    private fun GatewayHarness.kept() = effects.filterIsInstance<PublishedEffect.KeepRecords>()

    private fun GatewayHarness.reads() = effects.filterIsInstance<PublishedEffect.Read>()

    private fun GatewayHarness.watches() = effects.filterIsInstance<PublishedEffect.WatchChanges>()

    @Test
    fun `a lower table version never replaces a higher one`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.feedChanges(PublishedRecord.Table(sampleTable.copy(version = version(7))))
        harness.feedChanges(PublishedRecord.Table(sampleTable.copy(version = version(5))))
        assertEquals(version(7), harness.state.published.table?.version)
    }

    @Test
    fun `a full read after a lost history removes endpoints that it does not list`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        harness.loseHistory()
        assertTrue(harness.readsAll())
        harness.feedSnapshot(sampleTable, listOf(endpointOf("e2")))
        assertEquals(setOf("e2"), harness.knownEndpoints())
    }

    /**
     * Guards against dropping live endpoints after an outage of the store: their records lapse
     * while it is down, and they register again when it is back.
     */
    @Test
    fun `endpoints removed around an outage are retained until they can register again`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"), endpointOf("e3"))
        harness.failRead()
        harness.advance(4.seconds)
        harness.feedChanges(
            PublishedRecord.EndpointRemoved(EndpointId("e1")),
            PublishedRecord.EndpointRemoved(EndpointId("e2"))
        )
        assertEquals(setOf("e1", "e2", "e3"), harness.knownEndpoints())
        harness.advance(1.seconds)
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1")))
        harness.advance(2.seconds)
        assertEquals(setOf("e1", "e3"), harness.knownEndpoints())
    }

    /** A cut watch is no outage: no record can have lapsed in so short a time. */
    @Test
    fun `an endpoint removed shortly after a failed read is removed at once`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        repeat(3) {
            harness.advance(1200.milliseconds)
            harness.failRead()
            harness.advance(100.milliseconds)
            harness.feedChanges()
            harness.advance(400.milliseconds)
        }
        harness.feedChanges(PublishedRecord.EndpointRemoved(EndpointId("e1")))
        assertEquals(setOf("e2"), harness.knownEndpoints())
    }

    /** Records lapse after three heartbeats, so those of an outage of two may come back. */
    @Test
    fun `an endpoint removed after the time of two heartbeats without an answer is retained`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        harness.advance(1500.milliseconds)
        harness.failRead()
        harness.advance(900.milliseconds)
        harness.feedChanges(PublishedRecord.EndpointRemoved(EndpointId("e1")))
        assertEquals(setOf("e1", "e2"), harness.knownEndpoints())
    }

    /**
     * Guards against requests to an endpoint whose record is gone, because a gateway that alone did
     * not hear the store takes its own silence for an outage of the store.
     */
    @Test
    fun `an endpoint is removed at once if the store answered other gateways meanwhile`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        repeat(8) {
            harness.advance(500.milliseconds)
            harness.feed(report(it + 1L, storeAnswerAge = 200.milliseconds))
        }
        assertFalse(harness.state.published.storeReachable)
        harness.feedChanges(PublishedRecord.EndpointRemoved(EndpointId("e1")))
        assertEquals(setOf("e2"), harness.knownEndpoints())
    }

    /** The store was away for all of them if the last answer that any gateway had is that old. */
    @Test
    fun `an endpoint is retained if the store answered no gateway for long`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        repeat(8) {
            harness.advance(500.milliseconds)
            harness.feed(report(it + 1L, storeAnswerAge = 500.milliseconds * (it + 1)))
        }
        harness.feed(report(9, storeAnswerAge = 10.milliseconds))
        harness.advance(100.milliseconds)
        harness.feedChanges(PublishedRecord.EndpointRemoved(EndpointId("e1")))
        assertEquals(setOf("e1", "e2"), harness.knownEndpoints())
        harness.advance(harness.state.bounds.endpointGracePeriod)
        assertEquals(setOf("e2"), harness.knownEndpoints())
    }

    @Test
    fun `an endpoint removed without an outage is removed at once`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        harness.advance(1.seconds)
        harness.feedChanges(PublishedRecord.EndpointRemoved(EndpointId("e1")))
        assertEquals(setOf("e2"), harness.knownEndpoints())
    }

    @Test
    fun `a failed read is repeated after a wait that grows`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.failRead()
        assertEquals(
            emptyList(),
            harness.advance(90.milliseconds).filterIsInstance<PublishedEffect.Read>()
        )
        assertEquals(
            1,
            harness.advance(20.milliseconds).filterIsInstance<PublishedEffect.Read>().size
        )
        repeat(20) { harness.failRead() }
        assertEquals(
            1,
            harness.advance(501.milliseconds).filterIsInstance<PublishedEffect.Read>().size
        )
    }

    /**
     * Guards against a gateway that asks for the same changes without end and stays on an old
     * table: an answer that is too large grows with each further change.
     */
    @Test
    fun `changes that cannot be read are replaced by a full read`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.failRead("answer over 4 bytes", repeatable = false)
        harness.advance(110.milliseconds)
        assertTrue(harness.readsAll())
        assertEquals(1, harness.reads().size)
        harness.failRead()
        harness.advance(210.milliseconds)
        assertTrue(harness.readsAll())
        assertEquals(1, harness.reads().size)
        harness.feedSnapshot(sampleTable.copy(version = version(7)), listOf(endpointOf("e1")))
        assertEquals(version(7), harness.state.published.table?.version)
        assertEquals(harness.state.published.position, harness.watches().single().after)
    }

    /** Else a store whose changes are never readable would be asked as fast as it answers. */
    @Test
    fun `changes that stay unreadable are asked for after a wait`() {
        val harness = readyHarness(endpointOf("e1"))
        var reads = 0
        repeat(20) {
            harness.failRead("malformed", repeatable = false)
            reads += harness.advance(50.milliseconds).filterIsInstance<PublishedEffect.Read>().size
            if (harness.readsAll()) {
                harness.feedSnapshot(sampleTable, listOf(endpointOf("e1")))
                reads += harness.reads().size
            }
        }
        assertTrue(reads <= 20, "$reads reads in a second")
    }

    /** The store may refuse reads of one gateway while it answers the others. */
    @Test
    fun `newer records are read from another gateway while the store does not answer`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.feed(report(revision = 9))
        assertEquals(emptyList(), harness.effects.filterIsInstance<PublishedEffect.ReadFromPeer>())
        harness.failRead()
        val peerRead = harness.effects.filterIsInstance<PublishedEffect.ReadFromPeer>().single()
        assertEquals(HostId("10.0.0.2"), peerRead.peer)
        harness.feed(
            PublishedEvent.PeerRecordsRead(
                HostId("10.0.0.2"),
                positionOf(9),
                listOf(PublishedRecord.Table(sampleTable.copy(version = version(4))))
            )
        )
        assertEquals(version(4), harness.state.published.table?.version)
        assertEquals(positionOf(9), harness.state.published.position)
        harness.failRead()
        assertEquals(emptyList(), harness.effects.filterIsInstance<PublishedEffect.ReadFromPeer>())
    }

    @Test
    fun `a restarted gateway reads its first table from another one if the store is down`() {
        val harness = GatewayHarness().apply { feed(RuntimeEvent.Started) }
        harness.failRead()
        harness.feed(report(revision = 9))
        assertEquals(1, harness.effects.filterIsInstance<PublishedEffect.ReadFromPeer>().size)
        harness.feed(
            PublishedEvent.PeerRecordsRead(
                HostId("10.0.0.2"),
                positionOf(9),
                listOf(PublishedRecord.Table(sampleTable))
            )
        )
        assertTrue(harness.state.common.ready)
    }

    /**
     * Guards against requests to an endpoint that leaves: an answer of the store that was on its
     * way while newer records came from another gateway put the earlier record back.
     */
    @Test
    fun `changes that arrive after newer records of another gateway do not replace them`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        val before = harness.state.published.position.revision.value
        val newer = listOf(
            PublishedRecord.Table(sampleTable.copy(version = version(4))),
            PublishedRecord.Endpoint(endpointOf("e1", leaving = true)),
            PublishedRecord.Endpoint(endpointOf("e2"))
        )
        val peer = HostId("10.0.0.2")
        harness.feed(PublishedEvent.PeerRecordsRead(peer, positionOf(before + 2), newer))
        val late = listOf(PublishedRecord.Endpoint(endpointOf("e1")))
        harness.feedChanges(before + 1, positionOf(before), late)
        assertTrue(harness.state.endpoints.getValue(EndpointId("e1")).record.leaving)
        assertEquals(emptyList(), harness.kept())
        assertEquals(positionOf(before + 2), harness.state.published.position)
        assertEquals(positionOf(before + 2), harness.watches().single().after)
    }

    /**
     * Guards against requests to an endpoint by a record that no longer stands in the store: a
     * change that came just before an unreadable one, such as that it leaves, is never seen.
     */
    @Test
    fun `an endpoint with an unreadable record gets nothing until it publishes itself again`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        val spoiled = PublishedRecord.Unusable("servers/e1", "not JSON", EndpointId("e1"))
        harness.feedChanges(spoiled)
        assertEquals(setOf("e2"), harness.knownEndpoints())
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1")))
        assertEquals(setOf("e1", "e2"), harness.knownEndpoints())
        harness.feedChanges(PublishedRecord.Unusable("op/config", "not JSON"))
        assertEquals(setOf("e1", "e2"), harness.knownEndpoints())
        assertEquals(sampleTable, harness.state.published.table)
    }

    @Test
    fun `an endpoint that restarted under its id begins without earlier state`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.arrive("1")
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1", startStamp = 2)))
        assertEquals(0, harness.state.endpoints.getValue(EndpointId("e1")).work.size)
    }

    private fun version(value: Long) = TableVersion(value)
}
