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
import org.gypsumroute.core.gateway.exchange.gatewayCount

class GatewayPauseTest {
    /** Guards against a retry for a caller that has left, caused by events queued in a pause. */
    @Test
    fun `a request whose deadline passed during a pause is not sent again`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        harness.arrive("1")
        val attempt = harness.state.requests.getValue(RequestId("1")).attempt!!.id
        harness.pause(5.seconds)
        val clockEffects = harness.readClock()
        assertTrue(clockEffects.any { it is RuntimeEffect.Count && it.metric == Metric.PAUSES })
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
    fun `a request before its deadline continues after a pause`() {
        val harness = readyHarness(endpointOf("e1", service = modelService))
        harness.arrive("1", headOf("/stream/x", prompt = 100))
        harness.pause(5.seconds)
        harness.readClock()
        assertEquals(1, harness.state.requests.size)
    }

    @Test
    fun `an overdue request is answered as past its deadline`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.arrive("1")
        harness.pause(5.seconds)
        val refused = harness.readClock().filterIsInstance<ForwardEffect.Refuse>()
        assertEquals(ErrorKind.DEADLINE_EXCEEDED, refused.single().failure.kind)
    }

    /** Guards against a pause that raises this gateway's share of the limits for all gateways. */
    @Test
    fun `other gateways do not count as silent during a pause`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.feed(reportFrom("10.0.0.2"))
        harness.pause(20.seconds)
        harness.readClock()
        harness.feed(RuntimeEvent.TimerFired(TimerId.ReportBeat))
        assertEquals(2, harness.state.gatewayCount)
    }
}
