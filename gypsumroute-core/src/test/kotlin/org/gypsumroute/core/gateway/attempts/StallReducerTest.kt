/*
 * What follows when an attempt is silent. Guards against running work that is given up or started
 * again because its endpoint is slow, and against requests that wait for a dead endpoint although
 * another one could serve them.
 */
package org.gypsumroute.core.gateway.attempts

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.headOf
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.readyHarness

class StallReducerTest {
    private val request = RequestId("1")
    private val notRun = AttemptOutcome.NotRun(503, misdirected = false)
    private val completed = AttemptOutcome.Completed(200, Duration.ZERO)

    private fun engines(count: Int) = readyHarness(
        *(1..count).map { endpointOf("e$it", service = modelService) }.toTypedArray()
    ).apply { advance(11.seconds) }

    private fun GatewayHarness.attempt() = state.requests.getValue(request).attempt!!

    private fun GatewayHarness.stall() = feed(ForwardEvent.AttemptStalled(request, attempt().id))

    private fun GatewayHarness.abandoned() =
        effects.filterIsInstance<ForwardEffect.Abandon>().map { it.attempt }

    private fun GatewayHarness.answers() = effects.filter {
        it is ForwardEffect.Cut || it is ForwardEffect.Refuse || it is ForwardEffect.RelayFailure
    }

    private fun GatewayHarness.workAt(endpoint: EndpointId) =
        state.endpoints.getValue(endpoint).work.size

    private fun begunStream(engines: Int) = engines(engines).apply {
        arrive("1", headOf("/stream/x", prompt = 1000))
        beginStream("1")
    }

    @Test
    fun `a silent attempt moves to another endpoint if the request may run again`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2")).apply { advance(11.seconds) }
        harness.arrive("1")
        val first = harness.attempt()
        harness.stall()
        assertEquals(listOf(first.id), harness.abandoned())
        assertTrue(harness.sends.single().target.endpoint != first.endpoint)
        assertEquals(0, harness.workAt(first.endpoint))
    }

    /** A booking that takes long must be neither repeated nor given up before its time is over. */
    @Test
    fun `a silent attempt that must run at most once goes on`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2")).apply { advance(11.seconds) }
        harness.arrive("1", headOf("/order/x"))
        harness.stall()
        assertEquals(emptyList(), harness.sends)
        assertEquals(emptyList(), harness.abandoned())
        harness.endAttempt("1", completed)
        assertEquals(0, harness.state.requests.size)
    }

    @Test
    fun `a silent attempt goes on if no other endpoint can take the request`() {
        val harness = begunStream(1)
        harness.stall()
        assertEquals(emptyList(), harness.sends)
        assertEquals(emptyList(), harness.abandoned())
        assertTrue(
            harness.effects.any {
                it is RuntimeEffect.Log && it.event == LogEvent.ATTEMPT_STALLED
            }
        )
    }

    /** Guards against an answer that ends because the endpoint that should resume it sheds load. */
    @Test
    fun `a stalled stream stays open until another endpoint resumes it`() {
        val harness = begunStream(2)
        val first = harness.attempt()
        harness.stall()
        assertEquals(1, harness.sends.size)
        assertEquals(emptyList(), harness.abandoned())
        harness.endAttempt("1", notRun)
        assertFalse(ForwardEffect.Cut(request) in harness.effects)
        assertEquals(first, harness.attempt())
        harness.endAttempt("1", completed)
        assertEquals(0, harness.state.requests.size)
    }

    @Test
    fun `the attempt that delivers first keeps its work and the other's is released`() {
        for (firstWins in listOf(true, false)) {
            val harness = begunStream(2)
            val first = harness.attempt()
            harness.stall()
            val second = harness.attempt()
            val (winner, loser) = if (firstWins) first to second else second to first
            harness.feed(ForwardEvent.AttemptTookOver(request, winner.id))
            assertEquals(winner, harness.attempt())
            assertEquals(1, harness.workAt(winner.endpoint))
            assertEquals(0, harness.workAt(loser.endpoint))
            harness.endAttempt("1", completed)
            assertEquals(0, harness.workAt(winner.endpoint))
        }
    }

    @Test
    fun `a stalled attempt that breaks does not end the attempt that replaces it`() {
        val harness = begunStream(2)
        val first = harness.attempt()
        harness.stall()
        val second = harness.attempt()
        harness.feed(
            ForwardEvent.AttemptEnded(request, first.id, AttemptOutcome.Broken("closed"))
        )
        assertEquals(second, harness.attempt())
        assertEquals(0, harness.workAt(first.endpoint))
    }

    /**
     * Guards against an error in the middle of a stream: its first event was sent to the caller
     * just before its attempt was stopped as silent.
     */
    @Test
    fun `an answer that began at an attempt that was stopped is not answered with an error`() {
        for (outcome in listOf(notRun, AttemptOutcome.Failed(500))) {
            val harness = engines(2).apply { arrive("1", headOf("/stream/x", prompt = 1000)) }
            val stopped = harness.attempt().id
            harness.stall()
            harness.feed(ForwardEvent.StreamBegun(request, stopped))
            harness.endAttempt("1", outcome)
            assertEquals(listOf<Any>(ForwardEffect.Cut(request)), harness.answers())
        }
    }

    @Test
    fun `the end of a request stops both attempts`() {
        val harness = begunStream(2)
        val first = harness.attempt()
        harness.stall()
        val second = harness.attempt()
        harness.advance(20.seconds)
        assertEquals(setOf(first.id, second.id), harness.abandoned().toSet())
        assertEquals(0, harness.workAt(first.endpoint) + harness.workAt(second.endpoint))
    }

    /** An endpoint whose record lapsed because it was slow to renew it may still be at work. */
    @Test
    fun `running work of an endpoint that was removed goes on`() {
        val harness = begunStream(2)
        val endpoint = harness.attempt().endpoint
        harness.feedChanges(PublishedRecord.EndpointRemoved(endpoint))
        assertEquals(emptyList(), harness.abandoned())
        assertEquals(emptyList(), harness.sends)
        harness.endAttempt("1", completed)
        assertEquals(0, harness.state.requests.size)
    }
}
