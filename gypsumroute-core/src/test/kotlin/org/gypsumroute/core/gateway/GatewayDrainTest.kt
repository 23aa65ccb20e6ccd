package org.gypsumroute.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent

class GatewayDrainTest {
    private val exit = RuntimeEffect.Exit(0)

    private fun draining() = readyHarness(endpointOf("e1", service = modelService)).apply {
        arrive("1", headOf("/stream/x", prompt = 100, deadline = 10.seconds))
        feed(RuntimeEvent.DrainRequested)
    }

    @Test
    fun `a planned stop fails readiness first and serves what still comes`() {
        val harness = draining()
        assertTrue(RuntimeEffect.SetReady(false) in harness.effects)
        harness.advance(1.seconds)
        harness.arrive("2", headOf("/stream/x", prompt = 100))
        assertEquals(1, harness.sends.size)
    }

    /** A request taken late in a planned stop would be cut when the process is killed. */
    @Test
    fun `connections are closed once the balancer had time to notice`() {
        val harness = draining()
        assertFalse(ForwardEffect.StopAccepting in harness.advance(2400.milliseconds))
        assertTrue(ForwardEffect.StopAccepting in harness.advance(200.milliseconds))
        assertFalse(exit in harness.effects)
    }

    @Test
    fun `the process exits when the last request has ended`() {
        val harness = draining()
        harness.advance(3.seconds)
        harness.end("1", AttemptOutcome.Completed(200, Duration.ZERO))
        assertTrue(exit in harness.effects)
    }

    @Test
    fun `an idle process exits as soon as the balancer had time to notice`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.feed(RuntimeEvent.DrainRequested)
        assertTrue(exit in harness.advance(2600.milliseconds))
    }
}
