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
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent

class GatewayDrainTest {
    private val exit = RuntimeEffect.Exit(0)

    private fun peer(sequence: Long, ready: Boolean = true) =
        reportFrom("10.0.0.2", sequence, ready = ready)

    private fun draining(peerReady: Boolean = true) =
        readyHarness(endpointOf("e1", service = modelService)).apply {
            arrive("1", headOf("/stream/x", prompt = 100, deadline = 10.seconds))
            feed(RuntimeEvent.DrainRequested)
            advance(2.seconds)
            feed(peer(1, peerReady))
        }

    @Test
    fun `a planned stop fails readiness first and serves what still comes`() {
        val harness = readyHarness(endpointOf("e1", service = modelService))
        harness.feed(RuntimeEvent.DrainRequested)
        assertTrue(RuntimeEffect.SetReady(false) in harness.effects)
        harness.advance(1.seconds)
        harness.arrive("2", headOf("/stream/x", prompt = 100))
        assertEquals(1, harness.sends.size)
    }

    /** A request taken late in a planned stop would be cut when the process is killed. */
    @Test
    fun `connections are closed once the balancer had time to notice`() {
        val harness = draining()
        assertFalse(ForwardEffect.StopAccepting in harness.advance(400.milliseconds))
        assertTrue(ForwardEffect.StopAccepting in harness.advance(200.milliseconds))
        assertFalse(exit in harness.effects)
    }

    /** Where all gateways stop at once, callers have nowhere else to go. */
    @Test
    fun `connections are taken longer while no other gateway is ready`() {
        val harness = draining(peerReady = false)
        assertFalse(ForwardEffect.StopAccepting in harness.advance(2.seconds))
        harness.arrive("2", headOf("/stream/x", prompt = 100))
        assertEquals(1, harness.sends.size)
        assertTrue(ForwardEffect.StopAccepting in harness.advance(2.seconds))
    }

    @Test
    fun `connections are closed as soon as another gateway is ready`() {
        val harness = draining(peerReady = false)
        harness.advance(1.seconds)
        harness.feed(peer(2))
        assertTrue(ForwardEffect.StopAccepting in harness.advance(600.milliseconds))
    }

    /** Such a request would be cut when the process is killed. */
    @Test
    fun `a late request that would not end before the stop is refused as not run`() {
        val harness = draining(peerReady = false)
        harness.advance(2.seconds)
        harness.arrive("2", headOf("/stream/x", prompt = 400_000, output = 20_000))
        assertEquals(ErrorKind.DRAINING, harness.refusals.single().failure.kind)
        assertEquals(RunState.NOT_RUN, harness.refusals.single().failure.runState)
    }

    @Test
    fun `the process exits when the last request has ended`() {
        val harness = draining()
        harness.advance(1.seconds)
        harness.end("1", AttemptOutcome.Completed(200, Duration.ZERO))
        assertTrue(exit in harness.effects)
    }

    @Test
    fun `an idle process exits as soon as the balancer had time to notice`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.feed(RuntimeEvent.DrainRequested)
        harness.feed(peer(1))
        harness.advance(1500.milliseconds)
        harness.feed(peer(2))
        assertTrue(exit in harness.advance(1100.milliseconds))
    }
}
