/*
 * Gateways that all start again while requests crash endpoints. Guards against knowledge of a
 * crashing part that ends with the processes, so that endpoints have to end for it anew.
 */
package org.gypsumroute.core.gateway.crashes

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.reportFrom

class CrashCautionTest : PromptCrashFixture() {
    private val unixNow = 1_700_000_000_000

    /** A gateway whose engines started so many seconds before it. */
    private fun startAfter(startedAgo: List<Int>): GatewayHarness =
        GatewayHarness(startedAt = UnixTime(unixNow)).apply {
            feed(RuntimeEvent.Started)
            feedSnapshot(
                tableWithOrganisations,
                startedAgo.mapIndexed { index, ago ->
                    endpointOf("e$index", modelService, startStamp = unixNow - ago * 1000L)
                }
            )
            advance(12.seconds)
        }

    private fun startAfterCrashes() = startAfter(List(20) { 3600 } + listOf(60, 40, 30, 5))

    @Test
    fun `after a series of restarts a crashing part ends a single endpoint`() {
        val harness = startAfterCrashes()
        repeat(3) { harness.serve(shared) }
        var ended = 0
        repeat(10) {
            ended += harness.crash(shared, crashing)
            harness.serve(shared)
            harness.advance(3.seconds)
        }
        assertEquals(1, ended)
        assertTrue(harness.serve(shared))
    }

    /** The request may have run, so its caller must not be told otherwise. */
    @Test
    fun `the request that ended an endpoint is not repeated and may have run`() {
        val harness = startAfterCrashes()
        val id = harness.arriveWith(listOf(shared, crashing))
        harness.advance(50.milliseconds)
        harness.endAttempt(id, lost)
        assertEquals(emptyList(), harness.sends)
        assertEquals(ErrorKind.ENDPOINT_LOST, harness.refusals.single().failure.kind)
    }

    @Test
    fun `a part that was answered since the start is not held responsible`() {
        val harness = startAfterCrashes()
        repeat(3) { harness.serve(shared, 7) }
        harness.crash(shared, 7)
        assertTrue(harness.serve(shared, 7))
    }

    /** For example all connections are reset at one time, and the part is in most requests. */
    @Test
    fun `a part that is open at other endpoints is not held responsible`() {
        val harness = startAfterCrashes()
        repeat(3) { harness.serve(9) }
        val open = List(5) { harness.arriveWith(listOf(shared)) }
        harness.advance(50.milliseconds)
        open.forEach { harness.endAttempt(it, lost) }
        assertTrue(open.all { harness.isOpen(it) })
        assertTrue(harness.serve(shared))
    }

    @Test
    fun `a sound part that was lost once is tried again and allowed`() {
        val harness = startAfterCrashes()
        repeat(3) { harness.serve(shared) }
        harness.crash(shared, 7)
        assertFalse(harness.serve(shared, 7))
        harness.advance(35.seconds)
        assertTrue(harness.serve(shared, 7))
        assertTrue(harness.serve(shared, 7))
    }

    @Test
    fun `the other gateways refuse the part after the report of one loss`() {
        val harness = startAfterCrashes()
        val other = startAfterCrashes()
        repeat(3) { other.serve(shared) }
        other.crash(shared, crashing)
        val event = reportFrom("10.0.0.2")
        val crashes = other.state.crashes.reportAt(other.now)
        harness.feed(event.copy(report = event.report.copy(crashes = crashes, age = 5.seconds)))
        assertFalse(harness.serve(shared, crashing))
    }

    @Test
    fun `without a series of restarts a single loss proves nothing`() {
        val calm = List(20) { 3600 }
        for (starts in listOf(calm, List(20) { 2 }, calm + List(5) { 30 }, calm + (1000..1005))) {
            val harness = startAfter(starts)
            assertNull(harness.state.crashes.caution)
            repeat(3) { harness.serve(shared) }
            val id = harness.arriveWith(listOf(shared, crashing))
            harness.endAttempt(id, lost)
            assertTrue(harness.isOpen(id), "$starts")
        }
    }

    @Test
    fun `a gateway that runs beside an older one is not cautious`() {
        val harness = startAfterCrashes()
        val event = reportFrom("10.0.0.2")
        harness.feed(event.copy(report = event.report.copy(age = 8.seconds)))
        assertNotNull(harness.state.crashes.caution)
        val older = event.report.copy(sequence = 2, age = 1.minutes)
        harness.feed(event.copy(report = older))
        assertNull(harness.state.crashes.caution)
        val logs = harness.effects.filterIsInstance<RuntimeEffect.Log>().map { it.event }
        assertTrue(LogEvent.CAUTION_ENDED in logs)
    }

    @Test
    fun `caution ends with time`() {
        val harness = startAfterCrashes()
        harness.advance(11.minutes)
        assertNull(harness.state.crashes.caution)
    }
}
