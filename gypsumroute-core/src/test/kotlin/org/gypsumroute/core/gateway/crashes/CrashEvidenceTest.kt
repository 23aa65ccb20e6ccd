/*
 * Evidence about many parts and of several gateways. Guards against a crashing part that is hidden
 * by others, and against losses that are reported once more after they were refuted.
 */
package org.gypsumroute.core.gateway.crashes

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.CrashReport
import org.gypsumroute.api.EndpointStart
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.OrganisationDigest
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.ReportedLoss
import org.gypsumroute.api.ReportedSuspicion
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.reportFrom

class CrashEvidenceTest : PromptCrashFixture() {
    /** Guards against state that grows with the requests, and against floods that hide a part. */
    @Test
    fun `many parts take bounded space and do not displace a part with more losses`() {
        val harness = engines()
        repeat(2) {
            harness.crash(shared, crashing)
            harness.serve(shared)
        }
        repeat(50) { round ->
            val flood = LongArray(300) { 1000L + round * 300 + it }
            harness.crash(*flood, organisation = "b")
        }
        assertTrue(harness.state.crashes.parts.size <= MAX_ENTRIES)
        harness.crash(shared, crashing)
        assertFalse(harness.serve(shared, crashing))
        val report = harness.state.crashes.reportAt(harness.now)
        assertTrue(report.suspicions.size <= 8 && report.clearances.size <= 8)
        assertTrue(report.suspicions.any { PromptPartId(crashing) in it.parts })
    }

    /** Only the first parts of a prompt were looked at, and a later one crashed endpoints on. */
    @Test
    fun `a crashing part is found wherever it stands among many`() {
        val others = LongArray(400) { 1000L + it }
        for (place in listOf(0, 16, 200, 400)) {
            val harness = engines()
            val prompt = (others.take(place) + crashing + others.drop(place)).toLongArray()
            var ended = 0
            repeat(10) {
                ended += harness.crash(*prompt)
                harness.serve(*others)
                harness.serve(shared)
            }
            assertTrue(ended in 3..5, "place $place: $ended endpoints ended")
            assertTrue(harness.serve(*others), "place $place")
        }
    }

    /** A report that names the same few parts each time says nothing of the others. */
    @Test
    fun `parts that do not fit into one report are in the next ones`() {
        val harness = engines()
        val prompt = LongArray(400) { 1000L + it }
        harness.crash(*prompt)
        val reported = (0L until 25).flatMap { turn ->
            harness.state.crashes.reportAt(harness.now, turn).suspicions.flatMap { it.parts }
        }
        assertTrue(reported.toSet().containsAll(prompt.map { PromptPartId(it) }))
    }

    @Test
    fun `what another gateway reports of many parts counts in full`() {
        val harness = engines()
        val parts = (1000L until 1040).map { PromptPartId(it) }
        val losses = (1..6).map {
            ReportedLoss(EndpointStart(it), OrganisationDigest(1), 300.milliseconds, 1.seconds / it)
        }
        val suspicions = parts.map { ReportedSuspicion(listOf(it), othersServed = 0, losses) }
        val event = reportFrom("10.0.0.2")
        harness.feed(event.copy(report = event.report.copy(crashes = CrashReport(suspicions))))
        assertEquals(parts.toSet(), harness.state.crashes.parts.keys)
        assertTrue(harness.state.crashes.parts.values.all { it.losses.size == 6 })
    }

    @Test
    fun `evidence is forgotten with time`() {
        val harness = engines()
        repeat(4) {
            harness.crash(shared, crashing)
            harness.serve(shared)
        }
        assertFalse(harness.serve(shared, crashing))
        harness.advance(21.minutes)
        assertTrue(harness.state.crashes.isEmpty)
    }

    private fun report(from: GatewayHarness, sequence: Long) =
        reportFrom("10.0.0.2", sequence).let {
            ExchangeEvent.ReportReceived(
                it.from,
                it.report.copy(crashes = from.state.crashes.reportAt(from.now))
            )
        }

    @Test
    fun `reported losses count and a reported answer clears the part`() {
        val other = engines()
        val harness = engines()
        repeat(4) {
            other.crash(shared, crashing)
            other.serve(shared)
        }
        harness.feed(report(other, 1))
        assertTrue(
            harness.effects.any {
                it is RuntimeEffect.Log && it.event == LogEvent.PROMPT_PART_BLOCKED
            }
        )
        assertFalse(harness.serve(shared, crashing))
        other.advance(1.minutes)
        other.serve(shared, crashing)
        harness.advance(1.minutes)
        harness.feed(report(other, 2))
        assertEquals(
            CrashReport().suspicions,
            harness.state.crashes.reportAt(harness.now).suspicions
        )
        assertTrue(harness.serve(shared, crashing))
    }

    /** A gateway that rarely sees a sound part would refuse it for what other parts do. */
    @Test
    fun `a part that was in an answer here is cleared at gateways that suspect it`() {
        val other = engines()
        val harness = engines()
        harness.serve(subject)
        repeat(2) {
            other.crash(subject, crashing)
            other.serve(shared)
        }
        harness.feed(report(other, 1))
        other.feed(report(harness, 2))
        other.crash(subject, otherCrashing)
        assertTrue(other.serve(subject))
        assertFalse(other.serve(subject, crashing))
    }

    /** A member that missed the answer goes on reporting the losses that it refuted. */
    @Test
    fun `losses that a complete answer refuted do not come back with a late report`() {
        val other = engines()
        val harness = engines()
        repeat(4) {
            other.crash(shared, subject)
            other.serve(shared)
        }
        harness.feed(report(other, 1))
        harness.advance(1.minutes)
        assertTrue(harness.serve(shared, subject))
        other.advance(1.minutes)
        harness.feed(report(other, 2))
        assertTrue(harness.serve(shared, subject))
    }
}
