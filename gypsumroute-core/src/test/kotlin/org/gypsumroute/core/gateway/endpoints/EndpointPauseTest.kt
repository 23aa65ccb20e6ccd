/*
 * Endpoints that turn requests away and ask for a pause. Guards against requests that reach them in
 * the pause, all at once after it, and against callers that are told to come back too early.
 */
package org.gypsumroute.core.gateway.endpoints

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointStatement
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReservationEffect
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.attempts.retryAfter
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.headOf
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.readyHarness

class EndpointPauseTest {
    private val turnedAway = AttemptOutcome.NotRun(503, misdirected = false)

    private fun GatewayHarness.statePause(id: String, time: Duration, start: Long = 1) = feed(
        ForwardEvent.EndpointStated(
            EndpointId(id),
            UnixTime(start),
            EndpointStatement.Pause(time)
        )
    )

    /** Sends a request that its endpoint turns away with a pause; returns the endpoint. */
    private fun GatewayHarness.turnAway(request: String, pause: Duration): String {
        arrive(request)
        val endpoint = sends.single().target.endpoint.value
        statePause(endpoint, pause)
        endAttempt(request, turnedAway)
        return endpoint
    }

    /** Sends a request each 20 ms for [time] and lets it end; returns how many went to [id]. */
    private fun GatewayHarness.countSends(id: String, time: Duration): Int {
        var count = 0
        val end = now + time
        while (now < end) {
            val request = "c${now.milliseconds}"
            arrive(request)
            if (sends.any { it.target.endpoint.value == id }) count++
            if (sends.isNotEmpty()) {
                endAttempt(request, AttemptOutcome.Completed(200, Duration.ZERO))
            }
            advance(20.milliseconds)
        }
        return count
    }

    private fun harnessOf(vararg ids: String): GatewayHarness =
        readyHarness(*ids.map { endpointOf(it) }.toTypedArray()).apply { advance(11.seconds) }

    @Test
    fun `nothing goes to an endpoint within its pause, and repeats go elsewhere`() {
        val harness = harnessOf("e1", "e2")
        val paused = harness.turnAway("1", 5.seconds)
        assertTrue(harness.sends.single().target.endpoint.value != paused)
        assertEquals(0, harness.countSends(paused, 4900.milliseconds))
    }

    @Test
    fun `after a pause requests come at a rate that grows`() {
        val harness = harnessOf("e1")
        harness.turnAway("1", 5.seconds)
        harness.advance(5.seconds)
        val perSecond = List(6) { harness.countSends("e1", 1.seconds) }
        assertTrue(perSecond[0] in 1..4, "$perSecond")
        assertTrue(perSecond[1] in 3..8, "$perSecond")
        assertTrue(perSecond[2] in 6..16, "$perSecond")
        assertEquals(50, perSecond[5], "$perSecond")
    }

    @Test
    fun `if all endpoints ask for a pause callers are told when the first one ends`() {
        val harness = harnessOf("e1", "e2")
        harness.statePause("e1", 9.seconds)
        harness.statePause("e2", 4.seconds)
        harness.advance(1.seconds)
        harness.arrive("1")
        assertEquals(emptyList(), harness.sends)
        val failure = harness.refusals.single().failure
        assertEquals(ErrorKind.NO_ENDPOINT, failure.kind)
        assertEquals(RunState.NOT_RUN, failure.runState)
        assertEquals(3.seconds, failure.retryAfter)
    }

    @Test
    fun `the caller of the request that was turned away last is told so too`() {
        val harness = harnessOf("e1")
        harness.turnAway("1", 4.seconds)
        val failure = harness.refusals.single().failure
        assertEquals(ErrorKind.ENDPOINT_REFUSED, failure.kind)
        assertEquals(4.seconds, failure.retryAfter)
    }

    @Test
    fun `a pause is no failure, whatever the refusal promises`() {
        val harness = harnessOf("e1", "e2")
        for (outcome in listOf(turnedAway, AttemptOutcome.Lost("503 without a promise"))) {
            harness.arrive("h$outcome")
            val id = harness.sends.single().target.endpoint
            harness.statePause(id.value, 1.seconds)
            harness.endAttempt("h$outcome", outcome)
            assertEquals(0.0, harness.state.endpoints.getValue(id).health.failureRate(harness.now))
            harness.advance(10.seconds)
        }
        assertTrue(harness.state.crashes.isEmpty)
    }

    /** Guards against a pause that is forgotten while the endpoint's record is away. */
    @Test
    fun `a record that lapses and comes back does not end a pause`() {
        val harness = harnessOf("e1")
        harness.statePause("e1", 60.seconds)
        harness.feedChanges(PublishedRecord.EndpointRemoved(EndpointId("e1")))
        harness.statePause("e1", 90.seconds)
        harness.advance(5.seconds)
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1")))
        harness.arrive("1")
        assertEquals(85.seconds, harness.refusals.single().failure.retryAfter)
        harness.advance(100.seconds)
        assertTrue(harness.state.pauses.isEmpty())
    }

    @Test
    fun `a pause ends with the start of the endpoint that asked for it`() {
        val harness = harnessOf("e1")
        harness.statePause("e1", 60.seconds)
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf("e1", startStamp = 2)))
        harness.arrive("1")
        assertEquals(1, harness.sends.size)
        // An answer of the earlier start that arrives late.
        harness.statePause("e1", 60.seconds, start = 1)
        harness.arrive("2")
        assertEquals(1, harness.sends.size)
    }

    @Test
    fun `a shorter pause does not shorten a longer one, and both are logged once`() {
        val harness = harnessOf("e1")
        val logs = harness.statePause("e1", 5.seconds).filterIsInstance<RuntimeEffect.Log>()
        assertEquals(LogEvent.ENDPOINT_PAUSES, logs.single().event)
        assertEquals(emptyList(), harness.statePause("e1", 1.seconds))
        harness.advance(2.seconds)
        harness.arrive("1")
        assertEquals(emptyList(), harness.sends)
    }

    @Test
    fun `a choice that waits for memory is made anew if its engine asks for a pause`() {
        val engines = (1..6).map { endpointOf("m$it", modelService) }
        val harness = readyHarness(*engines.toTypedArray())
        harness.arrive("1", headOf("/stream/x", prompt = 900_000, deadline = 10.seconds))
        val reserved = harness.effects.filterIsInstance<ReservationEffect.Reserve>()
        val paused = reserved.first().endpoint
        harness.statePause(paused.value, 5.seconds)
        reserved.forEach { harness.feed(ReservationEvent.Reserved(it.reservation)) }
        assertEquals(emptyList(), harness.sends)
        val again = harness.effects.filterIsInstance<ReservationEffect.Reserve>()
        assertTrue(again.isNotEmpty() && again.none { it.endpoint == paused })
    }

    /** Reports do not carry pauses, so each gateway finds out by a request of its own. */
    @Test
    fun `each gateway learns of a pause by one request at most`() {
        for (count in listOf(3, 33)) {
            val gateways = List(count) { harnessOf(*Array(20) { number -> "e$number" }) }
            var paused: String? = null
            var sent = 0
            repeat(10_000 / 20) { round ->
                val harness = gateways[round % count]
                harness.arrive("r$round")
                val endpoint = harness.sends.single().target.endpoint.value
                if (endpoint == (paused ?: endpoint)) {
                    paused = endpoint
                    sent++
                    harness.statePause(endpoint, 20.seconds)
                    harness.endAttempt("r$round", turnedAway)
                } else {
                    val served = AttemptOutcome.Completed(200, Duration.ZERO)
                    harness.endAttempt("r$round", served)
                }
                gateways.forEach { it.advance(20.milliseconds) }
            }
            assertTrue(sent in 1..count, "$count gateways: $sent requests")
        }
    }
}
