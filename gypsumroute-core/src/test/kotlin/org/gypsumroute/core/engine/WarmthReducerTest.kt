package org.gypsumroute.core.engine

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind
import org.gypsumroute.core.AgentFixture
import org.gypsumroute.core.RampContext
import org.gypsumroute.core.admission.offeredShare
import org.gypsumroute.core.admission.requestGrant
import org.gypsumroute.core.agent
import org.gypsumroute.core.agentPolicies
import org.gypsumroute.core.asPlainService
import org.gypsumroute.core.failure
import org.gypsumroute.core.failures
import org.gypsumroute.core.leases.checkEngine
import org.gypsumroute.core.map
import org.gypsumroute.core.notRun
import org.gypsumroute.core.requests.startWork
import org.gypsumroute.core.sent
import org.gypsumroute.core.testDocument
import org.gypsumroute.core.withPrompt
import org.junit.jupiter.api.Test

/** Guards against full load on engines that have just started or have become slow. */
class WarmthReducerTest {
    private val agent = AgentFixture(policies = agentPolicies).apply { checkEngine() }
    private var completions = 0

    @Test
    fun `the share grows with completions at warm speed and not with time`() {
        agent.advance(60.seconds)
        agent.checkEngine()
        assertEquals(0.1, share())
        val shares = (1..8).map {
            complete(10.milliseconds)
            share()
        }
        assertEquals(listOf(0.1, 0.2, 0.2, 0.4, 0.4, 0.8, 0.8, 1.0), shares)
    }

    // A cold engine starts short prompts within the same batch step as a warm one. When the share
    // grew with such prompts, 1 to 2 of 16 cold engines collapsed.
    @Test
    fun `completions of prompts too short to show a cold engine do not grow the share`() {
        val rule = testDocument().document.ramp.copy(warmFirstToken = 50.milliseconds)
        val context = RampContext(rule, 0.1, 2, 10.milliseconds, 20.milliseconds, 55.milliseconds)
        assertEquals(0.1, growAtWarmSpeed(context))
        val enough = context.copy(completionsAtShare = 20, workAtShare = 100.milliseconds)
        assertEquals(0.2, growAtWarmSpeed(enough))
    }

    @Test
    fun `a prefill slower than the cold factor allows restarts the ramp`() {
        repeat(8) { complete(10.milliseconds) }
        assertEquals(1.0, share())
        complete(30.milliseconds)
        assertEquals(1.0, share())
        val logs = complete(31.milliseconds).filterIsInstance<RuntimeEffect.Log>()
        assertEquals(listOf(LogEvent.ENGINE_COLD), logs.map { it.event })
        assertEquals(0.1, share())
    }

    @Test
    fun `prompts in prefill at the same time are taken into account`() {
        repeat(8) { complete(10.milliseconds) }
        repeat(5) { agent.grantAndStart("p$it") }
        agent.feed(EngineEvent.FirstToken(LeaseId("p0"), 60.milliseconds))
        assertEquals(1.0, share())
    }

    @Test
    fun `a cold endpoint takes one stream, and a long prompt only when it runs nothing else`() {
        assertEquals(1, agent.requestGrant("long") { it.withPrompt(60_000, "medium") }.granted())
        assertEquals(0, agent.requestGrant("short").granted())
        agent.release("long")
        agent.release("short")
        repeat(4) { complete(10.milliseconds) }
        assertEquals(0.4, share())
        assertEquals(1, agent.requestGrant("short").granted())
        assertEquals(0, agent.requestGrant("long2") { it.withPrompt(60_000, "medium") }.granted())
        agent.startWork("short")
        agent.feed(EngineEvent.FirstToken(LeaseId("short"), 10.milliseconds))
        val ended = agent.feed(EngineEvent.StreamEnded(LeaseId("short"), Tokens(1)))
        assertEquals(1, ended.granted())
    }

    @Test
    fun `grants beyond the initial share are revoked when the ramp restarts`() {
        repeat(8) { complete(10.milliseconds) }
        repeat(3) { agent.requestGrant("planned$it") }
        agent.grantAndStart("slow")
        val effects = agent.feed(EngineEvent.FirstToken(LeaseId("slow"), 10.seconds))
        val failures = effects.sent<PeerMessage.WorkFailed>().map { it.failure }
        assertEquals(List(3) { ErrorKind.ENGINE_REFUSED }, failures.map { it.kind })
        assertTrue(failures.all { it.runState == notRun })
        assertEquals(1, agent.state.ledger.slotsInUse)
    }

    @Test
    fun `a plain service that accepts no connection restarts the ramp`() {
        val plain = AgentFixture(listOf(testDocument { asPlainService(it) }), agentPolicies)
        val call = { lease: String ->
            plain.requestGrant(lease) { it.copy(kind = WorkKind.CALL, path = "/status") }
            plain.startWork(lease)
        }
        repeat(8) {
            call("c$it")
            plain.feed(EngineEvent.CallEnded(LeaseId("c$it"), 200))
        }
        assertEquals(1.0, plain.state.warmth.share)
        call("d")
        plain.feed(EngineEvent.CallFailed(LeaseId("d"), reached = false, cause = "refused"))
        assertEquals(0.1, plain.state.warmth.share)
    }

    @Test
    fun `the baseline policy offers the whole capacity at once`() {
        val baseline = AgentFixture(policies = agentPolicies.copy(ramp = noRamp))
        baseline.checkEngine()
        assertEquals(8, (1..9).sumOf { baseline.requestGrant("a$it").granted() })
    }

    private fun share() = agent.state.offeredShare(testDocument().document)

    private fun List<Effect>.granted() = sent<PeerMessage.GrantIssued>().size

    private fun complete(elapsed: Duration): List<Effect> {
        completions += 1
        val lease = "served$completions"
        agent.grantAndStart(lease)
        val effects = agent.feed(EngineEvent.FirstToken(LeaseId(lease), elapsed))
        agent.feed(EngineEvent.StreamEnded(LeaseId(lease), Tokens(1)))
        agent.release(lease)
        return effects
    }
}
