package org.gypsumroute.core.leases

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.AgentFixture
import org.gypsumroute.core.admission.freeMemory
import org.gypsumroute.core.admission.requestGrant
import org.gypsumroute.core.agent
import org.gypsumroute.core.agentPolicies
import org.gypsumroute.core.asSegment
import org.gypsumroute.core.engineState
import org.gypsumroute.core.failure
import org.gypsumroute.core.failures
import org.gypsumroute.core.map
import org.gypsumroute.core.notRun
import org.gypsumroute.core.outcome
import org.gypsumroute.core.reduce
import org.gypsumroute.core.requests.startWork
import org.gypsumroute.core.sent
import org.gypsumroute.core.workFailure
import org.junit.jupiter.api.Test

/** Guards against a ledger that differs from what the engine really holds. */
class ReconciliationTest {
    private val agent = AgentFixture().apply { checkEngine() }
    private val lease = LeaseId("a")

    @Test
    fun `a lost cancel is sent again until two reads in a row do not list the stream`() {
        agent.grantAndStart("a")
        agent.release("a")
        val held = engineState(streams = mapOf("a" to 1_500))
        assertTrue(EngineEffect.CancelStream(lease) in agent.checkEngine(held))
        agent.checkEngine()
        agent.checkEngine(held)
        agent.checkEngine()
        assertEquals(1, agent.state.ledger.reservations.size)
        assertTrue(EngineEffect.ForgetLease(lease) in agent.checkEngine())
        assertEquals(Tokens.ZERO, agent.state.ledger.reservedMemory)
    }

    @Test
    fun `a read that was under way when the stream was cancelled does not free it`() {
        agent.grantAndStart("a")
        agent.feed(RuntimeEvent.TimerFired(TimerId.EngineCheck))
        agent.advance(1.seconds)
        agent.release("a")
        agent.feed(EngineEvent.StateRead(engineState()))
        agent.checkEngine()
        assertEquals(1, agent.state.ledger.reservations.size)
    }

    @Test
    fun `a stream that failed on the engine keeps its memory until its end is confirmed`() {
        agent.grantAndStart("a")
        val effects = agent.feed(EngineEvent.StreamFailed(lease, true, "reset"))
        val failure = effects.workFailure()
        assertEquals(ErrorKind.ENGINE_FAILED to RunState.RAN, failure.outcome)
        assertEquals(Tokens(1_500), agent.state.ledger.reservedMemory)
        agent.grantAndStart("b")
        val refused = agent.feed(EngineEvent.StreamFailed(LeaseId("b"), false, "busy"))
            .workFailure()
        assertEquals(ErrorKind.ENGINE_REFUSED to notRun, refused.outcome)
        assertEquals(Tokens(1_500), agent.state.ledger.reservedMemory)
    }

    @Test
    fun `streams and handles of an earlier agent are dropped after one lease time, repeatedly`() {
        val report = engineState(streams = mapOf("old" to 9_000), handles = mapOf("kv" to 1_000))
        assertTrue(orphanEffects(agent.checkEngine(report)).isEmpty())
        assertEquals(90_000, agent.state.freeMemory())
        assertEquals(ErrorKind.LEASE_EXPIRED, agent.renew("old").workFailure().kind)
        repeat(4) { agent.checkEngine(report) }
        val expected = listOf(
            EngineEffect.CancelStream(LeaseId("old")),
            EngineEffect.ReleaseHandle(HandleId("kv"))
        )
        repeat(2) { assertEquals(expected, orphanEffects(agent.checkEngine(report))) }
        agent.checkEngine()
        assertEquals(100_000, agent.state.freeMemory())
        assertTrue(agent.state.engine.orphanStreams.isEmpty())
    }

    @Test
    fun `no work is granted while the engine uses more memory than its streams account for`() {
        agent.checkEngine(engineState(used = 99_000))
        assertEquals(1, agent.requestGrant("a").sent<PeerMessage.GrantQueued>().size)
        val effects = agent.checkEngine(engineState(used = 1_000))
        assertEquals(1, effects.sent<PeerMessage.GrantIssued>().size)
    }

    @Test
    fun `an outdated report that lists an ended stream does not reduce the free memory`() {
        agent.grantAndStart("a")
        agent.feed(EngineEvent.StreamEnded(lease, Tokens(3)))
        agent.checkEngine(engineState(streams = mapOf("a" to 1_500)))
        assertEquals(100_000, agent.state.freeMemory())
    }

    @Test
    fun `an engine restart clears the ledger, fails its streams and restarts the ramp`() {
        val warm = AgentFixture(policies = agentPolicies).apply { checkEngine() }
        repeat(10) { index ->
            warm.grantAndStart("w$index")
            warm.feed(EngineEvent.FirstToken(LeaseId("w$index"), 1.seconds / 100))
            warm.feed(EngineEvent.StreamEnded(LeaseId("w$index"), Tokens(1)))
            warm.release("w$index")
        }
        assertEquals(1.0, warm.state.warmth.share)
        warm.grantAndStart("a")
        warm.checkEngine(engineState(streams = mapOf("a" to 1_500)))
        repeat(3) { warm.requestGrant("planned$it") }
        val effects = warm.checkEngine(engineState(incarnation = "engine#2"))
        val failures = effects.sent<PeerMessage.WorkFailed>().associate { it.lease to it.failure }
        assertEquals(ErrorKind.ENGINE_FAILED, failures.getValue(lease).kind)
        assertEquals(2, failures.values.count { it.runState == RunState.NOT_RUN })
        assertEquals(0.1, warm.state.warmth.share)
        assertEquals(1, warm.state.ledger.slotsInUse)
    }

    @Test
    fun `a segment's cache is released with its lease and freed when the engine confirms it`() {
        agent.requestGrant("a") { it.asSegment() }
        assertTrue(agent.startWork("a").any { it is EngineEffect.PrefillSegment })
        val handle = SegmentHandle(HandleId("kv"), "127.0.0.1:9", Tokens(1_000))
        val exported = agent.feed(EngineEvent.SegmentExported(lease, handle, 1.seconds))
        assertEquals(handle, exported.sent<PeerMessage.SegmentReady>().single().handle)
        assertEquals(Tokens(1_000) to 0, agent.state.ledger.run { reservedMemory to slotsInUse })
        assertTrue(EngineEffect.ReleaseHandle(handle.handle) in agent.release("a"))
        val held = engineState(handles = mapOf("kv" to 1_000))
        assertTrue(EngineEffect.ReleaseHandle(handle.handle) in agent.checkEngine(held))
        agent.feed(EngineEvent.HandleReleased(handle.handle))
        assertEquals(Tokens.ZERO, agent.state.ledger.reservedMemory)
    }

    @Test
    fun `a segment exported after its lease was cancelled is released`() {
        agent.requestGrant("a") { it.asSegment() }
        agent.startWork("a")
        agent.release("a")
        val handle = SegmentHandle(HandleId("kv"), "127.0.0.1:9", Tokens(1_000))
        val effects = agent.feed(EngineEvent.SegmentExported(lease, handle, 1.seconds))
        assertEquals(EngineEffect.ReleaseHandle(handle.handle), effects.last())
        agent.feed(EngineEvent.CancelConfirmed(lease))
        assertEquals(1, agent.state.ledger.reservations.size)
    }

    @Test
    fun `a lost answer to a state read does not stop the engine checks`() {
        repeat(5) {
            agent.advance(2.seconds)
            agent.feed(RuntimeEvent.TimerFired(TimerId.EngineCheck))
        }
        assertTrue(agent.state.engine.failedReads >= 1)
        assertTrue(agent.state.engine.readIssuedAt != null)
        agent.checkEngine()
        assertEquals(0, agent.state.engine.failedReads)
    }

    private fun orphanEffects(effects: List<Effect>): List<Effect> {
        val logs = effects.filterIsInstance<RuntimeEffect.Log>().map { it.event }
        val dropped = effects.filter {
            it is EngineEffect.CancelStream || it is EngineEffect.ReleaseHandle
        }
        val logged = logs.count { it == LogEvent.ORPHAN_STREAM || it == LogEvent.ORPHAN_HANDLE }
        assertEquals(dropped.size, logged)
        return dropped
    }
}
