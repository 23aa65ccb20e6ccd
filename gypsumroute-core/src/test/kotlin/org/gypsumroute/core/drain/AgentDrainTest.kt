package org.gypsumroute.core.drain

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.AgentFixture
import org.gypsumroute.core.admission.requestGrant
import org.gypsumroute.core.agent
import org.gypsumroute.core.failure
import org.gypsumroute.core.leases.checkEngine
import org.gypsumroute.core.notRun
import org.gypsumroute.core.outcome
import org.gypsumroute.core.refusal
import org.junit.jupiter.api.Test

/** Guards against drains that abort running requests or never end. */
class AgentDrainTest {
    private val agent = AgentFixture().apply { checkEngine() }
    private val lease = LeaseId("a")

    @Test
    fun `an idle agent exits at once`() {
        assertTrue(agent.feed(RuntimeEvent.DrainRequested).exits())
    }

    @Test
    fun `a drain refuses new work, finishes running work and exits when its lease is released`() {
        agent.grantAndStart("a")
        assertTrue(!agent.feed(RuntimeEvent.DrainRequested).exits())
        val failure = agent.requestGrant("b").refusal()
        assertEquals(ErrorKind.DRAINING to notRun, failure.outcome)
        assertTrue(!agent.feed(EngineEvent.StreamEnded(lease, Tokens(3))).exits())
        assertTrue(agent.release("a").exits())
        assertTrue(!agent.feed(RuntimeEvent.DrainRequested).exits())
    }

    @Test
    fun `an answer that no entry reads delays the exit only until its lease expires`() {
        agent.grantAndStart("a")
        agent.feed(RuntimeEvent.DrainRequested)
        agent.feed(EngineEvent.StreamEnded(lease, Tokens(3)))
        assertTrue(agent.advance(10.seconds).exits())
    }

    @Test
    fun `an unreachable engine that cannot confirm a cancel does not delay the exit`() {
        agent.grantAndStart("a")
        agent.feed(RuntimeEvent.DrainRequested)
        assertTrue(!agent.release("a").exits())
        agent.feed(EngineEvent.Unreachable("reset"))
        assertTrue(agent.feed(EngineEvent.Unreachable("reset")).exits())
    }

    private fun List<Effect>.exits() = RuntimeEffect.Exit(0) in this
}
