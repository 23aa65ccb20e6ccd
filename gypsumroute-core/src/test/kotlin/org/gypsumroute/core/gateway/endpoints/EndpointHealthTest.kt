package org.gypsumroute.core.gateway.endpoints

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.Moment
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.headOf
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.readyHarness

class EndpointHealthTest {
    private val start = Moment(1000)

    @Test
    fun `failures raise the failure rate and their effect decays`() {
        val health = EndpointHealth().afterFailure(start)
        assertEquals(0.3, health.failureRate(start), 0.001)
        assertEquals(0.15, health.failureRate(start + 4.seconds), 0.001)
        assertTrue(health.afterAnswer(start).failureRate(start) < 0.3)
        assertEquals(Moment.START, health.suspendedUntil)
    }

    @Test
    fun `an unreachable endpoint is suspended longer each time`() {
        val once = EndpointHealth().afterUnreachable(start)
        assertEquals(start + 500.milliseconds, once.suspendedUntil)
        val twice = once.afterUnreachable(start)
        assertEquals(start + 1.seconds, twice.suspendedUntil)
        val manyTimes = (1..20).fold(twice) { health, _ -> health.afterUnreachable(start) }
        assertEquals(start + 4.seconds, manyTimes.suspendedUntil)
        val afterAnswer = manyTimes.afterAnswer(start).afterUnreachable(start)
        assertEquals(start + 500.milliseconds, afterAnswer.suspendedUntil)
    }

    /** Guards against requests for a dead endpoint: without load, it was rated best in overload. */
    @Test
    fun `an unreachable endpoint gets no requests while others take them`() {
        val harness = readyHarness(
            endpointOf("e1", service = modelService),
            endpointOf("e2", service = modelService)
        )
        harness.arrive("1", headOf("/stream/x", prompt = 1000))
        val dead = harness.sends.single().target.endpoint
        harness.endAttempt("1", AttemptOutcome.NeverSent("connect"))
        repeat(40) {
            harness.arrive("more-$it", headOf("/stream/x", prompt = 1000))
            assertTrue(harness.sends.single().target.endpoint != dead)
        }
    }

    @Test
    fun `an unreachable endpoint is tried again if there is no other`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.arrive("1")
        harness.endAttempt("1", AttemptOutcome.NeverSent("connect"))
        harness.arrive("2")
        assertEquals(1, harness.sends.size)
    }
}
