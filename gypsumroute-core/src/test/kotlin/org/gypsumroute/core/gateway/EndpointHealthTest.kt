package org.gypsumroute.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.Moment

class EndpointHealthTest {
    private val start = Moment(1000)

    @Test
    fun `failures count and fade`() {
        val health = EndpointHealth().afterFailure(start)
        assertEquals(0.3, health.failureRate(start), 0.001)
        assertEquals(0.15, health.failureRate(start + 4.seconds), 0.001)
        assertTrue(health.afterAnswer(start).failureRate(start) < 0.3)
        assertEquals(Moment.START, health.suspendedUntil)
    }

    @Test
    fun `an endpoint that cannot be reached is left out longer each time`() {
        val once = EndpointHealth().afterUnreachable(start)
        assertEquals(start + 500.milliseconds, once.suspendedUntil)
        val twice = once.afterUnreachable(start)
        assertEquals(start + 1.seconds, twice.suspendedUntil)
        val often = (1..20).fold(twice) { health, _ -> health.afterUnreachable(start) }
        assertEquals(start + 4.seconds, often.suspendedUntil)
        val back = often.afterAnswer(start).afterUnreachable(start)
        assertEquals(start + 500.milliseconds, back.suspendedUntil)
    }

    /** A dead endpoint has no load, so under overload it looked better than all live ones. */
    @Test
    fun `an endpoint that could not be reached gets nothing while others take requests`() {
        val harness = readyHarness(
            endpointOf("e1", service = modelService),
            endpointOf("e2", service = modelService)
        )
        harness.arrive("1", headOf("/stream/x", prompt = 1000))
        val dead = harness.sends.single().target.endpoint
        harness.end("1", AttemptOutcome.NeverSent("connect"))
        repeat(40) {
            harness.arrive("more-$it", headOf("/stream/x", prompt = 1000))
            assertTrue(harness.sends.single().target.endpoint != dead)
        }
    }

    @Test
    fun `if no endpoint could be reached one is tried again`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.arrive("1")
        harness.end("1", AttemptOutcome.NeverSent("connect"))
        harness.arrive("2")
        assertEquals(1, harness.sends.size)
    }
}
