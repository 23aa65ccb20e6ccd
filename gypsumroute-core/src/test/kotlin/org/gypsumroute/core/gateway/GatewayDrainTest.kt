package org.gypsumroute.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ReservationEffect
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.SettingsEvent
import org.gypsumroute.core.gateway.attempts.RETRY_AFTER
import org.gypsumroute.core.gateway.attempts.retryAfter

class GatewayDrainTest {
    private val exit = RuntimeEffect.Exit(0)
    private val lost = AttemptOutcome.Lost("connection closed")

    private fun peerReport(sequence: Long, ready: Boolean = true) =
        reportFrom("10.0.0.2", sequence, ready = ready)

    private fun drainingHarness(peerReady: Boolean = true) =
        readyHarness(endpointOf("e1", service = modelService)).apply {
            arrive("1", headOf("/stream/x", prompt = 100, deadline = 10.seconds))
            feed(RuntimeEvent.DrainRequested)
            advance(2.seconds)
            feed(peerReport(1, peerReady))
        }

    /** Engines of which none alone has the memory for a very long prompt. */
    private fun engines() = readyHarness(
        *(1..4).map { endpointOf("e$it", service = modelService) }.toTypedArray()
    ).apply { advance(11.seconds) }

    private fun GatewayHarness.reserves() = effects.filterIsInstance<ReservationEffect.Reserve>()

    private fun GatewayHarness.cuts() = effects.filterIsInstance<ForwardEffect.Cut>()

    private fun GatewayHarness.openAtEnd() = effects.filterIsInstance<RuntimeEffect.Log>()
        .find { it.event == LogEvent.DRAIN_EXPIRED }?.fields?.associate { it.name to it.value }

    @Test
    fun `a planned stop first ends readiness and still serves new requests`() {
        val harness = readyHarness(endpointOf("e1", service = modelService))
        harness.feed(RuntimeEvent.DrainRequested)
        assertTrue(RuntimeEffect.SetReady(false) in harness.effects)
        harness.advance(1.seconds)
        harness.arrive("2", headOf("/stream/x", prompt = 100))
        assertEquals(1, harness.sends.size)
    }

    /** Guards against requests accepted late in a planned stop, which the kill would cut off. */
    @Test
    fun `new requests are refused once the load balancer had time to notice the stop`() {
        val harness = drainingHarness()
        assertFalse(ForwardEffect.CloseIdleCallers in harness.advance(400.milliseconds))
        assertTrue(ForwardEffect.CloseIdleCallers in harness.advance(200.milliseconds))
        assertFalse(exit in harness.effects)
    }

    /** A stream that was accepted 4 s after SIGTERM ran for longer than predicted and was cut. */
    @Test
    fun `a request that comes late in the stop of all gateways is not accepted and then cut`() {
        val harness = drainingHarness(peerReady = false)
        harness.advance(600.milliseconds)
        harness.arrive("2", headOf("/stream/x", prompt = 100))
        assertEquals(emptyList(), harness.sends)
        assertEquals(ErrorKind.DRAINING, harness.refusals.single().failure.kind)
        assertEquals(RunState.NOT_RUN, harness.refusals.single().failure.runState)
    }

    @Test
    fun `a late request that cannot end before the stop is refused as not run`() {
        val harness = drainingHarness(peerReady = false)
        harness.advance(2.seconds)
        harness.arrive("2", headOf("/stream/x", prompt = 400_000, output = 20_000))
        assertEquals(ErrorKind.DRAINING, harness.refusals.single().failure.kind)
        assertEquals(RunState.NOT_RUN, harness.refusals.single().failure.runState)
    }

    /** The caller is told at once to go elsewhere, instead of by a connection that is reset. */
    @Test
    fun `a request that comes after that is refused as not run`() {
        val harness = drainingHarness()
        harness.advance(600.milliseconds)
        harness.arrive("2", headOf("/stream/x", prompt = 100))
        val failure = harness.refusals.single().failure
        assertEquals(ErrorKind.DRAINING, failure.kind)
        assertEquals(RunState.NOT_RUN, failure.kind.runState)
        assertTrue(failure.retryAfter != null)
    }

    private fun GatewayHarness.retryAfterRefusal(): Duration {
        arrive("refused", headOf("/stream/x", prompt = 100))
        return refusals.single().failure.retryAfter!!
    }

    /** Callers that came back after 0.5 s were refused a second time, and gave up. */
    @Test
    fun `callers are told to come back when a gateway is expected to be ready`() {
        val harness = drainingHarness(peerReady = false)
        harness.feed(peerReport(2, ready = true))
        harness.feed(peerReport(3, ready = false))
        harness.advance(1.seconds)
        harness.feed(peerReport(4, ready = false))
        val own = harness.retryAfterRefusal()
        assertTrue(own in 3.seconds..5.seconds, "$own")
        harness.advance(1.seconds)
        assertTrue(harness.retryAfterRefusal() <= own - 1.seconds)
    }

    @Test
    fun `callers are told to come back at once if another gateway is ready`() {
        val harness = drainingHarness()
        harness.advance(600.milliseconds)
        assertTrue(harness.retryAfterRefusal() <= 100.milliseconds)
    }

    @Test
    fun `callers are told to come back earlier to a gateway that is starting again`() {
        val harness = drainingHarness(peerReady = false)
        harness.advance(1600.milliseconds)
        assertTrue(harness.retryAfterRefusal() <= RETRY_AFTER)
        harness.feed(reportFrom("10.0.0.2", incarnation = "2", ready = false))
        assertEquals(RETRY_AFTER, harness.retryAfterRefusal())
    }

    @Test
    fun `the process exits when the last request has ended`() {
        val harness = drainingHarness()
        harness.advance(1.seconds)
        harness.endAttempt("1", AttemptOutcome.Completed(200, Duration.ZERO))
        assertTrue(exit in harness.effects)
    }

    /** A gateway that waited for others to become ready was away for longer than necessary. */
    @Test
    fun `the process exits when the last request has ended also if no other gateway is ready`() {
        val harness = drainingHarness(peerReady = false)
        harness.advance(1.seconds)
        harness.endAttempt("1", AttemptOutcome.Completed(200, Duration.ZERO))
        assertTrue(exit in harness.effects)
    }

    @Test
    fun `an idle process exits once the load balancer had time to notice the stop`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.feed(RuntimeEvent.DrainRequested)
        harness.feed(peerReport(1))
        harness.advance(1500.milliseconds)
        harness.feed(peerReport(2))
        assertTrue(exit in harness.advance(1100.milliseconds))
    }

    /** The end of the process closed the connections of such requests without an answer. */
    @Test
    fun `a request without an answer gets one before the process has to end`() {
        val harness = drainingHarness()
        assertEquals(emptyList(), harness.apply { advance(5600.milliseconds) }.refusals)
        harness.advance(200.milliseconds)
        val failure = harness.refusals.single().failure
        assertEquals(504, failure.kind.httpStatus)
        assertEquals(RunState.UNKNOWN, failure.runState)
        assertTrue(exit in harness.effects)
        assertEquals("1", harness.openAtEnd()?.get("requests"))
        assertEquals("0", harness.openAtEnd()?.get("begun"))
    }

    /** 503 would promise that a second run does no harm. */
    @Test
    fun `a request that must run at most once is not called not run at the end of a stop`() {
        val harness = readyHarness(endpointOf("e1", service = modelService))
        harness.arrive("1", headOf("/fixed/x", prompt = 100, deadline = 10.seconds))
        harness.feed(RuntimeEvent.DrainRequested)
        harness.advance(8.seconds)
        assertEquals(504, harness.refusals.single().failure.kind.httpStatus)
        assertEquals(RunState.UNKNOWN, harness.refusals.single().failure.runState)
    }

    @Test
    fun `an answer that has started goes on until just before the process has to end`() {
        val harness = drainingHarness()
        harness.beginStream("1")
        assertEquals(emptyList(), harness.apply { advance(5600.milliseconds) }.cuts())
        harness.advance(200.milliseconds)
        assertEquals(listOf(ForwardEffect.Cut(RequestId("1"))), harness.cuts())
        assertTrue(exit in harness.effects)
        assertEquals("1", harness.openAtEnd()?.get("begun"))
    }

    /** A second attempt that starts late would be cut off like a new request. */
    @Test
    fun `a request that may outlast the stop is not sent again after new ones are refused`() {
        val harness = engines()
        harness.arrive("1", headOf("/stream/x", prompt = 100, deadline = 10.seconds))
        harness.feed(RuntimeEvent.DrainRequested)
        harness.advance(3.seconds)
        harness.endAttempt("1", AttemptOutcome.NotRun(503, misdirected = false))
        assertEquals(emptyList(), harness.sends)
        assertEquals(RunState.NOT_RUN, harness.refusals.single().failure.runState)
    }

    @Test
    fun `a request whose time is over before the stop is sent again`() {
        val harness = engines()
        harness.arrive("1", headOf("/stream/x", prompt = 100, deadline = 5.seconds))
        harness.feed(RuntimeEvent.DrainRequested)
        harness.advance(3.seconds)
        harness.endAttempt("1", lost)
        assertEquals(1, harness.sends.size)
    }

    @Test
    fun `a silent attempt is not replaced by one that may outlast the stop`() {
        val harness = engines()
        harness.arrive("1", headOf("/stream/x", prompt = 100, deadline = 10.seconds))
        harness.feed(RuntimeEvent.DrainRequested)
        harness.advance(3.seconds)
        val attempt = harness.state.requests.getValue(RequestId("1")).attempt!!.id
        harness.feed(ForwardEvent.AttemptStalled(RequestId("1"), attempt))
        assertEquals(emptyList(), harness.sends)
        assertEquals(1, harness.state.requests.size)
    }

    /** The caller has a part of the answer, and the alternative is to cut it off at once. */
    @Test
    fun `a stream that breaks in a stop is resumed at another endpoint`() {
        val harness = engines()
        harness.arrive("1", headOf("/stream/x", prompt = 100, deadline = 10.seconds))
        harness.beginStream("1")
        harness.feed(RuntimeEvent.DrainRequested)
        harness.advance(3.seconds)
        harness.endAttempt("1", AttemptOutcome.Broken("connection closed"))
        assertEquals(1, harness.sends.size)
        assertEquals(
            listOf(ForwardEffect.Cut(RequestId("1"))),
            harness.apply { advance(5.seconds) }.cuts()
        )
    }

    /** A long prompt was sent to its engines seconds after SIGTERM, when the memory was free. */
    @Test
    fun `a request that still waits for memory is refused as not run with the new ones`() {
        val harness = engines()
        harness.feed(RuntimeEvent.DrainRequested)
        harness.advance(2400.milliseconds)
        harness.arrive("1", headOf("/stream/x", prompt = 900_000, deadline = 10.seconds))
        val reservations = harness.reserves().map { it.reservation }
        assertTrue(reservations.isNotEmpty())
        harness.advance(200.milliseconds)
        assertEquals(RunState.NOT_RUN, harness.refusals.single().failure.runState)
        reservations.forEach { harness.feed(ReservationEvent.Reserved(it)) }
        assertEquals(emptyList(), harness.sends)
    }

    /** Its status promised that nothing had run, although the first attempt may have. */
    @Test
    fun `a request that waits for memory after a lost attempt is not answered as not run`() {
        val harness = engines()
        harness.arrive("1", headOf("/stream/x", prompt = 900_000, deadline = 10.seconds))
        harness.reserves().forEach { harness.feed(ReservationEvent.Reserved(it.reservation)) }
        harness.feed(RuntimeEvent.DrainRequested)
        harness.endAttempt("1", lost)
        assertTrue(harness.reserves().isNotEmpty())
        harness.advance(2600.milliseconds)
        assertEquals(504, harness.refusals.single().failure.kind.httpStatus)
    }

    /** The settings are read again every second and on SIGHUP. */
    @Test
    fun `settings that change during a stop do not move its end`() {
        val harness = drainingHarness()
        val longer = sampleBounds.copy(drainTime = 60.seconds)
        harness.feed(SettingsEvent.Changed(longer, emptyList()))
        harness.advance(5800.milliseconds)
        assertEquals(1, harness.refusals.size)
        assertTrue(exit in harness.effects)
    }

    @Test
    fun `a second signal does not prolong the stop`() {
        val harness = drainingHarness()
        harness.feed(RuntimeEvent.DrainRequested)
        assertTrue(exit in harness.advance(5800.milliseconds))
    }

    @Test
    fun `a stop before the first routing table ends without ever being ready`() {
        val harness = GatewayHarness()
        harness.feed(RuntimeEvent.Started)
        harness.feed(RuntimeEvent.DrainRequested)
        harness.arrive("1")
        assertEquals(ErrorKind.NOT_READY, harness.refusals.single().failure.kind)
        harness.feedSnapshot(sampleTable, listOf(endpointOf("e1")))
        assertFalse(RuntimeEffect.SetReady(true) in harness.effects)
        assertTrue(exit in harness.advance(2600.milliseconds))
    }

    /** With a short grace time, requests were served until the process was killed. */
    @Test
    fun `a short drain time leaves most of it to open requests`() {
        val harness = GatewayHarness(sampleBounds.copy(drainTime = 900.milliseconds))
        harness.feed(RuntimeEvent.Started)
        harness.feedSnapshot(sampleTable, listOf(endpointOf("e1", service = modelService)))
        harness.arrive("1", headOf("/stream/x", prompt = 100))
        harness.feed(RuntimeEvent.DrainRequested)
        assertTrue(ForwardEffect.CloseIdleCallers in harness.advance(310.milliseconds))
        assertEquals(emptyList(), harness.apply { advance(500.milliseconds) }.refusals)
        assertEquals(1, harness.apply { advance(80.milliseconds) }.refusals.size)
    }
}
