package org.gypsumroute.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.TimerId

class GatewayPauseTest {
    /** The events that waited during a pause would send a request again whose caller is gone. */
    @Test
    fun `a request whose time ended during a pause is not sent again`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        harness.arrive("1")
        val attempt = harness.state.requests.getValue(RequestId("1")).attempt!!.id
        harness.pause(5.seconds)
        val woken = harness.wake()
        assertTrue(woken.any { it is RuntimeEffect.Count && it.metric == Metric.PAUSES })
        harness.feed(
            ForwardEvent.AttemptEnded(
                RequestId("1"),
                attempt,
                AttemptOutcome.NeverSent("reset")
            )
        )
        assertEquals(emptyList(), harness.sends)
        assertEquals(0, harness.state.requests.size)
    }

    @Test
    fun `a request that still has time goes on after a pause`() {
        val harness = readyHarness(endpointOf("e1", service = modelService))
        harness.arrive("1", headOf("/stream/x", prompt = 100))
        harness.pause(5.seconds)
        harness.wake()
        assertEquals(1, harness.state.requests.size)
    }

    @Test
    fun `an overdue request is answered as over its time`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.arrive("1")
        harness.pause(5.seconds)
        val refused = harness.wake().filterIsInstance<ForwardEffect.Refuse>()
        assertEquals(ErrorKind.DEADLINE_EXCEEDED, refused.single().failure.kind)
    }

    /** Otherwise each pause would raise this gateway's share of the limits that all share. */
    @Test
    fun `other gateways do not count as silent for the time of a pause`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.feed(reportFrom("10.0.0.2"))
        harness.pause(20.seconds)
        harness.wake()
        harness.feed(RuntimeEvent.TimerFired(TimerId.ReportBeat))
        assertEquals(2, harness.state.gatewayCount)
    }
}
