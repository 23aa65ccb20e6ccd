package org.gypsumroute.core.gateway.attempts

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.headOf
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.readyHarness

class AttemptReducerTest {
    /** A harness in which the allowance for retries has reached its full size. */
    private fun harnessWithFullAllowance(vararg endpoints: EndpointRecord) =
        readyHarness(*endpoints).apply { advance(11.seconds) }

    private val notRun = AttemptOutcome.NotRun(503, misdirected = false)
    private val lost = AttemptOutcome.Lost("connection closed")

    private fun GatewayHarness.refusal() = refusals.single().failure

    /** Guards against running work twice: an order whose connection broke may have been printed. */
    @Test
    fun `a request that must run at most once is not sent again after it may have run`() {
        val harness = harnessWithFullAllowance(endpointOf("e1"), endpointOf("e2"))
        harness.arrive("1", headOf("/order/x"))
        harness.endAttempt("1", lost)
        assertEquals(emptyList(), harness.sends)
        assertEquals(ErrorKind.ENDPOINT_LOST, harness.refusal().kind)
        assertEquals(502, harness.refusal().kind.httpStatus)
        assertEquals(RunState.UNKNOWN, harness.refusal().runState)
        assertEquals(null, harness.refusal().retryAfter)
    }

    @Test
    fun `a request that must run at most once is retried if no endpoint ran it`() {
        val harness = harnessWithFullAllowance(endpointOf("e1"), endpointOf("e2"))
        harness.arrive("1", headOf("/order/x"))
        val first = harness.sends.single().target.endpoint
        harness.endAttempt("1", notRun)
        assertTrue(harness.sends.single().target.endpoint != first)
        harness.endAttempt("1", notRun)
        assertEquals(ErrorKind.ENDPOINT_REFUSED, harness.refusal().kind)
        assertEquals(RunState.NOT_RUN, harness.refusal().runState)
    }

    @Test
    fun `a refused connection does not count as a send`() {
        val harness = harnessWithFullAllowance(endpointOf("e1"), endpointOf("e2"), endpointOf("e3"))
        harness.arrive("1", headOf("/once/x"))
        harness.endAttempt("1", AttemptOutcome.NeverSent("connect"))
        assertEquals(1, harness.sends.size)
        harness.endAttempt("1", AttemptOutcome.NeverSent("connect"))
        assertEquals(1, harness.sends.size)
        harness.endAttempt("1", AttemptOutcome.NeverSent("connect"))
        assertEquals(RunState.NOT_RUN, harness.refusal().runState)
    }

    @Test
    fun `a request of a route with one attempt is sent once`() {
        val harness = harnessWithFullAllowance(endpointOf("e1"), endpointOf("e2"))
        harness.arrive("1", headOf("/once/x"))
        harness.endAttempt("1", notRun)
        assertEquals(emptyList(), harness.sends)
        assertEquals(RunState.NOT_RUN, harness.refusal().runState)
    }

    @Test
    fun `an idempotent request is retried after a failure and the last failure is passed on`() {
        val harness = harnessWithFullAllowance(endpointOf("e1"), endpointOf("e2"))
        harness.arrive("1")
        harness.endAttempt("1", AttemptOutcome.Failed(500))
        assertEquals(1, harness.sends.size)
        harness.endAttempt("1", AttemptOutcome.Failed(500))
        assertTrue(ForwardEffect.RelayFailure(RequestId("1")) in harness.effects)
        assertEquals(0, harness.state.requests.size)
    }

    /** The endpoint's failure tells the caller more than an error of the gateway's own. */
    @Test
    fun `a held failure is passed on if the second endpoint did not run the request`() {
        val harness = harnessWithFullAllowance(endpointOf("e1"), endpointOf("e2"))
        harness.arrive("1")
        harness.endAttempt("1", AttemptOutcome.Failed(500))
        harness.endAttempt("1", notRun)
        assertTrue(ForwardEffect.RelayFailure(RequestId("1")) in harness.effects)
    }

    @Test
    fun `a broken resumable stream continues at another endpoint and others are cut`() {
        val harness = harnessWithFullAllowance(
            endpointOf("e1", service = modelService),
            endpointOf("e2", service = modelService)
        )
        harness.arrive("1", headOf("/stream/x", prompt = 1000))
        harness.beginStream("1")
        harness.endAttempt("1", AttemptOutcome.Broken("connection closed"))
        assertEquals(1, harness.sends.size)
        harness.endAttempt("1", AttemptOutcome.Broken("connection closed"))
        assertTrue(ForwardEffect.Cut(RequestId("1")) in harness.effects)
        harness.arrive("2", headOf("/fixed/x", prompt = 1000))
        harness.beginStream("2")
        harness.endAttempt("2", AttemptOutcome.Broken("connection closed"))
        assertTrue(ForwardEffect.Cut(RequestId("2")) in harness.effects)
    }

    /**
     * Guards against a stream that looks complete to its caller: it broke after its first event,
     * and the attempt to resume it brought no further event.
     */
    @Test
    fun `a stream that began is never answered with an error status`() {
        val harness = harnessWithFullAllowance(
            endpointOf("e1", service = modelService),
            endpointOf("e2", service = modelService)
        )
        harness.arrive("1", headOf("/stream/x", prompt = 1000))
        harness.beginStream("1")
        harness.endAttempt("1", AttemptOutcome.Broken("connection closed"))
        harness.endAttempt("1", notRun)
        assertEquals(emptyList(), harness.refusals)
        assertTrue(ForwardEffect.Cut(RequestId("1")) in harness.effects)
    }

    @Test
    fun `a request ends at its deadline and tells whether it may have run`() {
        val harness = harnessWithFullAllowance(endpointOf("e1"))
        harness.arrive("1")
        harness.advance(601.milliseconds)
        assertIs<ForwardEffect.Abandon>(harness.effects.first { it is ForwardEffect.Abandon })
        assertEquals(ErrorKind.DEADLINE_EXCEEDED, harness.refusal().kind)
        assertEquals(RunState.UNKNOWN, harness.refusal().runState)
        assertEquals(0, harness.state.endpoints.getValue(EndpointId("e1")).work.size)
    }

    @Test
    fun `a caller that leaves has its attempt abandoned and its work released`() {
        val harness = harnessWithFullAllowance(endpointOf("e1"))
        harness.arrive("1")
        harness.feed(ForwardEvent.CallerLeft(RequestId("1")))
        assertEquals(1, harness.effects.filterIsInstance<ForwardEffect.Abandon>().size)
        assertEquals(0, harness.state.requests.size)
        assertEquals(0, harness.state.endpoints.getValue(EndpointId("e1")).work.size)
    }

    /** The address of a crashed endpoint may have been reassigned to another service. */
    @Test
    fun `an endpoint is not used again once another one answers at its address`() {
        val harness = harnessWithFullAllowance(endpointOf("e1"))
        harness.arrive("1")
        harness.endAttempt("1", AttemptOutcome.NotRun(421, misdirected = true))
        harness.arrive("2")
        assertEquals(ErrorKind.NO_ENDPOINT, harness.refusal().kind)
    }

    @Test
    fun `a failure counts against the endpoint named as faulty and not the one that answered`() {
        val harness = harnessWithFullAllowance(endpointOf("e1"), endpointOf("e2"))
        harness.arrive("1")
        val used = harness.sends.single().target.endpoint
        val other = if (used.value == "e1") "e2" else "e1"
        harness.endAttempt("1", AttemptOutcome.NotRun(503, false, EndpointAddress(other, 80)))
        val health = harness.state.endpoints.mapValues { it.value.health.failureRate(harness.now) }
        assertTrue(health.getValue(EndpointId(other)) > 0.5)
        assertEquals(0.0, health.getValue(used))
    }

    @Test
    fun `retries stop at the retry budget`() {
        val harness = harnessWithFullAllowance(endpointOf("e1"), endpointOf("e2"))
        var retries = 0
        repeat(100) {
            harness.arrive("$it")
            harness.endAttempt("$it", notRun)
            if (harness.sends.isNotEmpty()) {
                retries++
                harness.endAttempt("$it", AttemptOutcome.Completed(200, Duration.ZERO))
            }
        }
        assertEquals(28, retries)
        harness.advance(12.seconds)
        harness.arrive("later")
        harness.endAttempt("later", notRun)
        assertEquals(1, harness.sends.size)
    }

    /** Retries that the process sent before a restart still count in the same window. */
    @Test
    fun `a gateway that just started has no allowance for retries`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        harness.arrive("1")
        harness.endAttempt("1", notRun)
        assertEquals(emptyList(), harness.sends)
        harness.advance(2.seconds)
        harness.arrive("2")
        harness.endAttempt("2", notRun)
        assertEquals(1, harness.sends.size)
    }

    @Test
    fun `an event of an ended attempt changes nothing`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        harness.arrive("1")
        val endedAttempt = harness.state.requests.getValue(RequestId("1")).attempt!!.id
        harness.endAttempt("1", notRun)
        val before = harness.state.requests
        harness.feed(ForwardEvent.AttemptEnded(RequestId("1"), endedAttempt, lost))
        assertEquals(before, harness.state.requests)
    }
}
