/*
 * Endpoints that state in an answer that they leave. Guards against requests that reach them
 * afterwards because a record, a full read of the store or an outage of it seems to say otherwise.
 */
package org.gypsumroute.core.gateway.endpoints

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointStatement
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ExchangeEffect
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReportedLeaving
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ReservationEffect
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.StatementKind
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.attempts.send
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.headOf
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.readyHarness
import org.gypsumroute.core.gateway.reportFrom
import org.gypsumroute.core.gateway.sampleTable

class LeavingMarkTest {
    private fun GatewayHarness.stateLeaving(id: String, start: Long? = 1) = feed(
        ForwardEvent.EndpointStated(
            EndpointId(id),
            start?.let { UnixTime(it) },
            EndpointStatement.Leaving
        )
    )

    /** Where ten further requests go. */
    private fun GatewayHarness.used(path: String = "/plain/x"): Set<String> = (1..10).flatMap {
        arrive("u${now.milliseconds}-$it", headOf(path, prompt = 1000))
        sends.map { send -> send.target.endpoint.value }
    }.toSet()

    private fun twoEndpoints() = readyHarness(endpointOf("e1"), endpointOf("e2"))

    @Test
    fun `nothing new goes to an endpoint that stated that it leaves`() {
        val harness = twoEndpoints()
        harness.stateLeaving("e1")
        assertEquals(setOf("e2"), harness.used())
        val logged = harness.stateLeaving("e2").filterIsInstance<RuntimeEffect.Log>()
        assertEquals(LogEvent.ENDPOINT_STATED_LEAVING, logged.single().event)
        harness.arrive("last")
        assertEquals(ErrorKind.NO_ENDPOINT, harness.refusals.single().failure.kind)
    }

    @Test
    fun `what runs at it is finished, and repeats go elsewhere`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.arrive("1")
        harness.arrive("2")
        harness.stateLeaving("e1")
        assertTrue(harness.effects.none { it is ForwardEffect.Abandon })
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e2")))
        harness.advance(11.seconds)
        harness.arrive("3")
        assertEquals("e2", harness.sends.single().target.endpoint.value)
        harness.endAttempt("3", AttemptOutcome.Lost("reset"))
        assertEquals(emptyList(), harness.sends)
    }

    @Test
    fun `a broken stream is not resumed at it`() {
        val harness = readyHarness(
            endpointOf("m1", modelService),
            endpointOf("m2", modelService),
            endpointOf("m3", modelService)
        )
        harness.advance(11.seconds)
        repeat(5) { harness.arrive("warm$it", headOf("/stream/x", prompt = 1000)) }
        harness.arrive("1", headOf("/stream/x", prompt = 1000))
        val first = harness.sends.single().target.endpoint.value
        val others = listOf("m1", "m2", "m3") - first
        harness.beginStream("1")
        harness.stateLeaving(others[0])
        harness.endAttempt("1", AttemptOutcome.Broken("reset"))
        assertEquals(others[1], harness.sends.single().target.endpoint.value)
    }

    @Test
    fun `it gets no part of a long prompt and no reservation`() {
        val engines = (1..8).map { endpointOf("m$it", modelService) }
        val harness = readyHarness(*engines.toTypedArray())
        harness.arrive("0", headOf("/stream/x", prompt = 100_000))
        val helper = harness.sends.single().target.helpers.first().address.host
        harness.endAttempt("0", AttemptOutcome.Failed(500))
        harness.stateLeaving(helper)
        harness.arrive("1", headOf("/stream/x", prompt = 100_000))
        val target = harness.sends.single().target
        assertTrue(target.helpers.isNotEmpty())
        assertTrue(target.helpers.none { it.address.host == helper })
        harness.arrive("2", headOf("/stream/x", prompt = 900_000))
        val reserved = harness.effects.filterIsInstance<ReservationEffect.Reserve>()
        assertTrue(reserved.isNotEmpty() && reserved.none { it.endpoint.value == helper })
        harness.stateLeaving(reserved.first().endpoint.value)
        reserved.forEach { harness.feed(ReservationEvent.Reserved(it.reservation)) }
        assertTrue(harness.sends.none { it.target.endpoint == reserved.first().endpoint })
    }

    /**
     * Guards against requests to an endpoint that leaves, after a write of it that the store
     * carried out late put its earlier record back, or created it anew.
     */
    @Test
    fun `no later record of a start whose record said that it leaves allows it again`() {
        val harness = twoEndpoints()
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1", leaving = true)))
        assertEquals(setOf("e2"), harness.used())
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1")))
        assertEquals(setOf("e2"), harness.used())
        harness.feedChanges(PublishedRecord.EndpointRemoved(EndpointId("e1")))
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1")))
        val logged = harness.effects.filterIsInstance<RuntimeEffect.Log>().map { it.event }
        assertTrue(LogEvent.RECORD_OUTDATED in logged)
        assertEquals(setOf("e2"), harness.used())
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1", startStamp = 2)))
        assertTrue("e1" in harness.used())
    }

    /** Records without a start cannot be told apart, so the last one counts. */
    @Test
    fun `a record without a start that says that it leaves is replaced by the next one`() {
        val harness = readyHarness(endpointOf("e1", startStamp = null))
        val leaving = endpointOf("e1", startStamp = null, leaving = true)
        harness.feedChanges(PublishedRecord.Endpoint(leaving))
        assertEquals(emptySet(), harness.used())
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1", startStamp = null)))
        assertEquals(setOf("e1"), harness.used())
    }

    /** With the store down, a full read afterwards, or a lapsed record that comes back. */
    @Test
    fun `no record of the same start allows it again`() {
        val harness = twoEndpoints()
        harness.stateLeaving("e1")
        harness.failRead()
        assertEquals(setOf("e2"), harness.used())
        harness.feedSnapshot(sampleTable, listOf(endpointOf("e1"), endpointOf("e2")))
        assertEquals(setOf("e2"), harness.used())
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1", coldRemaining = 5.seconds)))
        assertEquals(setOf("e2"), harness.used())
        harness.advance(30.seconds)
        harness.feedChanges(PublishedRecord.EndpointRemoved(EndpointId("e1")))
        harness.advance(5.minutes)
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1")))
        assertEquals(setOf("e2"), harness.used())
    }

    @Test
    fun `a newer start is served again, also at the same address`() {
        val harness = twoEndpoints()
        harness.stateLeaving("e1")
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1", startStamp = 2)))
        assertTrue("e1" in harness.used())
        // An answer of the earlier start that arrives late says nothing of the newer one.
        harness.stateLeaving("e1", start = 1)
        assertTrue("e1" in harness.used())
        harness.stateLeaving("e1", start = 2)
        assertEquals(setOf("e2"), harness.used())
        harness.stateLeaving("e1", start = 1)
        assertEquals(setOf("e2"), harness.used())
    }

    /** Guards against statements that are ignored because the record shows an earlier start. */
    @Test
    fun `a record of an earlier start, or of none, does not allow it again`() {
        val harness = twoEndpoints()
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1", startStamp = 5)))
        harness.stateLeaving("e1", start = 5)
        for (start in listOf(3L, null)) {
            harness.feedChanges(PublishedRecord.EndpointRemoved(EndpointId("e1")))
            harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1", startStamp = start)))
            assertEquals(setOf("e2"), harness.used(), "start $start")
        }
    }

    /** Guards against reports that end the mark of the start in this gateway's older records. */
    @Test
    fun `a report of another start that leaves does not allow it again`() {
        for (reported in listOf(9L, 2L, null)) {
            val harness = twoEndpoints()
            harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1", startStamp = 5)))
            harness.stateLeaving("e1", start = 5)
            val event = reportFrom("10.0.0.2")
            val other = ReportedLeaving(
                EndpointId("e1"),
                reported?.let { UnixTime(it) },
                100.milliseconds
            )
            harness.feed(event.copy(report = event.report.copy(leaving = listOf(other))))
            assertEquals(setOf("e2"), harness.used(), "reported $reported")
        }
    }

    /**
     * Guards against a mark that names the wrong start: the gateway's record is old, and the
     * endpoint started again unseen before it stated that it leaves.
     */
    @Test
    fun `a start that had begun before the statement is not taken for a newer one`() {
        val harness = twoEndpoints()
        harness.advance(20.seconds)
        harness.stateLeaving("e1")
        val sinceStart = harness.now.milliseconds
        for ((start, isNewer) in listOf(sinceStart - 5_000 to false, sinceStart + 5_000 to true)) {
            val stamp = harness.state.startedAt.milliseconds + start
            harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1", startStamp = stamp)))
            assertEquals(isNewer, "e1" in harness.used(), "start $start ms after the gateway's")
        }
    }

    @Test
    fun `time alone does not allow it again`() {
        val harness = twoEndpoints()
        harness.stateLeaving("e1")
        harness.advance(60.minutes)
        assertEquals(setOf("e2"), harness.used())
    }

    /** Without this, an outage of the store keeps the record for some time after its removal. */
    @Test
    fun `it is removed at once with its record also after an outage`() {
        val harness = twoEndpoints()
        harness.failRead()
        harness.stateLeaving("e1")
        harness.feedSnapshot(sampleTable, listOf(endpointOf("e2")))
        assertFalse(EndpointId("e1") in harness.state.endpoints)
    }

    @Test
    fun `another gateway reports it with its age, and it is used there no more`() {
        val harness = twoEndpoints()
        harness.feed(reportFrom("10.0.0.2"))
        harness.stateLeaving("e1")
        harness.advance(700.milliseconds)
        val report = harness.effects.filterIsInstance<ExchangeEffect.SendReport>().last().report
        val reported = report.leaving.single()
        assertEquals(EndpointId("e1"), reported.endpoint)
        assertTrue(reported.ago in 100.milliseconds..700.milliseconds, "${reported.ago}")

        val other = twoEndpoints()
        val event = reportFrom("10.0.0.3")
        other.feed(event.copy(report = event.report.copy(leaving = listOf(reported))))
        assertEquals(setOf("e2"), other.used())
        // Only what a gateway heard itself is reported, or marks would go round for ever.
        assertEquals(emptyList(), leavingReport(other.state, 0))
    }

    @Test
    fun `marks of many endpoints are reported in turn`() {
        val harness = readyHarness(*(1..50).map { endpointOf("e$it") }.toTypedArray())
        (1..50).forEach { harness.stateLeaving("e$it") }
        val reported: List<ReportedLeaving> = (0L..6L).flatMap { leavingReport(harness.state, it) }
        assertEquals(50, reported.map { it.endpoint }.toSet().size)
    }

    @Test
    fun `an unreadable statement is counted and changes nothing`() {
        val harness = twoEndpoints()
        val unusable = EndpointStatement.Unusable(StatementKind.LEAVING)
        harness.feed(ForwardEvent.EndpointStated(EndpointId("e1"), UnixTime(1), unusable))
        assertEquals(1, harness.effects.filterIsInstance<RuntimeEffect.Count>().size)
        assertEquals(setOf("e1", "e2"), harness.used())
    }

    @Test
    fun `marks are forgotten long after their records`() {
        val harness = twoEndpoints()
        harness.stateLeaving("e1")
        harness.stateLeaving("gone", start = null)
        harness.feedChanges(PublishedRecord.EndpointRemoved(EndpointId("e1")))
        harness.advance(11.minutes)
        assertTrue(harness.state.leaving.isEmpty())
        assertTrue(RequestId("none") !in harness.state.requests)
    }
}
