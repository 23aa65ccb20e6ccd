/*
 * When the store is read, with a stand-in of it in virtual time whose calls may get no answer.
 */
package org.gypsumroute.core.gateway.records

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReadId
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.readyHarness
import org.gypsumroute.core.gateway.reportFrom
import org.gypsumroute.core.gateway.sampleBounds
import org.gypsumroute.core.gateway.sampleTable

class StoreReadReducerTest {
    private val leaving = PublishedRecord.Endpoint(endpointOf("e1", leaving = true))

    private fun GatewayHarness.watches() = effects.filterIsInstance<PublishedEffect.WatchChanges>()

    private fun GatewayHarness.snapshots() =
        effects.filterIsInstance<PublishedEffect.ReadSnapshot>()

    private fun GatewayHarness.feedChange(read: ReadId, revision: Long) =
        feedChanges(revision, state.published.position, listOf(leaving), read = read)

    /**
     * Guards against a change that comes into force too late because the call that waits for it is
     * dead, whenever the change comes and whatever failed before.
     */
    @Test
    fun `a change is in force in time although the call that waits for it gets no answer`() {
        for (gateways in listOf(1, 3, 33, 330)) {
            for (bound in listOf(1.seconds, 2.seconds, 4.seconds)) {
                for (failures in listOf(0, 1, 9)) {
                    val delay = longestDelay(gateways, bound, failures)
                    assertTrue(delay <= bound, "$gateways gateways, $failures failures: $delay")
                }
            }
        }
    }

    /**
     * Guards against requests to an endpoint whose record is gone, three seconds after the last
     * disruption: after an outage of the store, the endpoints of lapsed records are retained.
     */
    @Test
    fun `an endpoint removed after an outage is gone three seconds after the store is back`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        harness.advance(10.seconds)
        awaitNextRead(harness)
        val backAt = harness.now
        awaitNextRead(harness)
        harness.feedChanges(PublishedRecord.EndpointRemoved(EndpointId("e1")))
        assertTrue(EndpointId("e1") in harness.state.endpoints)
        harness.advance(3.seconds - (harness.now - backAt))
        assertFalse(EndpointId("e1") in harness.state.endpoints)
    }

    /** The longest time from a change to the call after the one that it finds dead. */
    private fun longestDelay(gateways: Int, bound: Duration, failures: Int): Duration {
        val harness = GatewayHarness(sampleBounds.copy(changeTime = bound))
        harness.feed(RuntimeEvent.Started)
        harness.feedSnapshot(sampleTable, listOf(endpointOf("e1")))
        (2..gateways).forEach { harness.feed(reportFrom("10.0.${it / 100}.${it % 100}")) }
        repeat(failures) {
            harness.failRead()
            harness.advance(500.milliseconds)
        }
        // The change may come just after an answer, before the next read starts.
        val changedAt = harness.now
        harness.feedChange(harness.latestRead, harness.state.published.position.revision.value + 1)
        val dead = awaitNextRead(harness)
        while (harness.latestRead == dead) harness.advance(1.milliseconds)
        return harness.now - changedAt
    }

    private fun awaitNextRead(harness: GatewayHarness): ReadId {
        val before = harness.latestRead
        while (harness.latestRead == before) harness.advance(1.milliseconds)
        return harness.latestRead
    }

    @Test
    fun `an overdue read is followed by one on a new connection that asks at once`() {
        val harness = readyHarness(endpointOf("e1"))
        val watch = harness.watches().single()
        assertFalse(watch.newConnection)
        assertTrue(watch.wait > Duration.ZERO)
        harness.advance(watch.wait + 500.milliseconds)
        val second = harness.watches().single()
        assertTrue(second.newConnection)
        assertEquals(Duration.ZERO, second.wait)
        assertFalse(harness.state.published.storeReachable)
    }

    /** Guards against a slow store whose answers are all thrown away as too late. */
    @Test
    fun `the answer to an overdue read counts and starts no read beside the awaited one`() {
        val harness = readyHarness(endpointOf("e1"))
        val slow = harness.watches().single()
        harness.advance(slow.wait + 500.milliseconds)
        val second = harness.watches().single()
        harness.feedChange(slow.read, 2)
        assertTrue(harness.state.endpoints.getValue(EndpointId("e1")).record.leaving)
        assertTrue(harness.state.published.storeReachable)
        assertEquals(emptyList(), harness.watches())
        harness.advance(100.milliseconds)
        assertEquals(emptyList(), harness.watches())
        harness.feedChange(second.read, 2)
        harness.advance(100.milliseconds)
        assertEquals(1, harness.watches().size)
    }

    /** Guards against reads that go on without end beside each other after one failed late. */
    @Test
    fun `the late failure of an overdue read changes nothing`() {
        val harness = readyHarness(endpointOf("e1"))
        val dead = harness.watches().single()
        harness.advance(dead.wait + 500.milliseconds)
        harness.feed(PublishedEvent.ReadFailed(dead.read, "timeout"))
        assertEquals(1, harness.state.published.reads.failures)
        harness.feedChanges()
        assertTrue(harness.state.published.storeReachable)
        assertEquals(1, harness.watches().size)
    }

    /** Guards against a large answer on a slow link that is asked for again before it is there. */
    @Test
    fun `an answer that arrives in parts is not overdue`() {
        val harness = readyHarness(endpointOf("e1"))
        val watch = harness.watches().single()
        harness.advance(watch.wait)
        repeat(10) {
            harness.feed(PublishedEvent.ReadProgressed(watch.read))
            harness.advance(400.milliseconds)
            assertEquals(emptyList(), harness.watches())
        }
        harness.advance(200.milliseconds)
        assertEquals(1, harness.watches().size)
    }

    /** A store that is silent for long is asked twice a second, and each call ends. */
    @Test
    fun `a silent store is asked again at a bounded rate`() {
        val harness = readyHarness(endpointOf("e1"))
        val reads = harness.advance(60.seconds).filterIsInstance<PublishedEffect.WatchChanges>()
        assertTrue(reads.size <= 120, "${reads.size} reads")
        assertEquals(reads.size, reads.map { it.read }.toSet().size)
    }

    @Test
    fun `a full read that gets no answer is repeated on a new connection`() {
        val harness = GatewayHarness().apply { feed(RuntimeEvent.Started) }
        assertEquals(1, harness.snapshots().size)
        harness.advance(500.milliseconds)
        assertTrue(harness.snapshots().single().newConnection)
    }

    /** Guards against two reads beside each other after one failed and an older one answered. */
    @Test
    fun `a late answer during the wait after a failure leaves one read`() {
        val harness = readyHarness(endpointOf("e1"))
        val slow = harness.watches().single()
        harness.advance(slow.wait + 500.milliseconds)
        harness.failRead()
        harness.feedChange(slow.read, 2)
        val reads = harness.advance(300.milliseconds).filterIsInstance<PublishedEffect.Read>()
        assertEquals(1, reads.size)
    }
}
