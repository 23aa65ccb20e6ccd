package org.gypsumroute.core

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEvent
import org.junit.jupiter.api.Test

/** Guards against print orders and shortlist actions that run twice. */
class AgentActionsReducerTest {
    private val agent = AgentFixture(listOf(testDocument { plain(it, kept = 2) }))
    private val key = agent.issueKey()

    @Test
    fun `an action runs and its repeat gets the recorded answer, also during a drain`() {
        assertEquals(EngineEffect.CallService(LeaseId("a"), "/orders"), start("a").last())
        agent.feed(EngineEvent.CallEnded(LeaseId("a"), 200))
        assertTrue(agent.release("a").none { it is EngineEffect.ForgetLease })
        agent.feed(RuntimeEvent.DrainRequested)
        assertEquals(1, ask("b").sent<PeerMessage.GrantIssued>().size)
        val replayed = agent.dispatch("b").filterIsInstance<EngineEffect>()
        assertEquals(listOf(EngineEffect.ReplayAnswer(LeaseId("a"), LeaseId("b"))), replayed)
        assertTrue(EngineEffect.ForgetLease(LeaseId("b")) in agent.release("b"))
    }

    @Test
    fun `a running action refuses repeats and is not cancelled by release, expiry or deadline`() {
        start("a")
        assertEquals(ErrorKind.ACTION_IN_PROGRESS to RunState.UNKNOWN, ask("b").outcome())
        val effects = agent.release("a") + agent.pass(40.seconds)
        assertTrue(effects.none { it is EngineEffect })
        assertEquals(1, agent.state.ledger.slotsInUse)
        agent.feed(EngineEvent.CallEnded(LeaseId("a"), 200))
        assertEquals(0, agent.state.ledger.slotsInUse)
        assertEquals(1, ask("c").sent<PeerMessage.GrantIssued>().size)
    }

    @Test
    fun `an action past its deadline has an unknown outcome`() {
        start("a")
        repeat(3) {
            agent.pass(9.seconds)
            agent.renew("a")
        }
        val failure = agent.pass(3.seconds).workFailure()
        assertEquals(ErrorKind.DEADLINE_EXCEEDED to RunState.UNKNOWN, failure.outcome)
    }

    @Test
    fun `a call that broke has an unknown outcome, one that was not written may run again`() {
        start("a")
        val unwritten = agent.feed(EngineEvent.CallFailed(LeaseId("a"), false, "refused"))
        assertEquals(notRun, unwritten.workFailure().runState)
        start("b")
        val broken = agent.feed(EngineEvent.CallFailed(LeaseId("b"), true, "reset"))
        assertEquals(RunState.UNKNOWN, broken.workFailure().runState)
        assertEquals(ErrorKind.ACTION_OUTCOME_UNKNOWN to RunState.UNKNOWN, ask("c").outcome())
    }

    @Test
    fun `a grant that lapsed leaves the key usable`() {
        ask("a")
        assertEquals(ErrorKind.ACTION_IN_PROGRESS, ask("b").outcome().first)
        agent.pass(5.seconds)
        assertEquals(1, ask("c").sent<PeerMessage.GrantIssued>().size)
    }

    @Test
    fun `a forged key or one of another organisation is refused as not run`() {
        val forged = ActionKey(key.value.dropLast(1) + "x")
        assertEquals(ErrorKind.ACTION_KEY_INVALID to notRun, ask("a", forged).outcome())
        val stolen = agent.ask("b") {
            it.action(key).copy(organisation = OrganisationId("yak-hotel"))
        }
        assertEquals(ErrorKind.ACTION_KEY_INVALID to notRun, stolen.outcome())
        assertEquals(ErrorKind.ACTION_KEY_INVALID to notRun, ask("c", ActionKey("1")).outcome())
    }

    @Test
    fun `a key of an earlier agent process has an unknown outcome`() {
        val earlier = ActionKey(key.value.replace("agent-1#1", "agent-1#0"))
        assertEquals(
            ErrorKind.ACTION_OUTCOME_UNKNOWN to RunState.UNKNOWN,
            ask("a", earlier).outcome()
        )
    }

    @Test
    fun `records are bounded and a key whose record was dropped never runs again`() {
        val unused = agent.issueKey()
        val others = List(3) { agent.issueKey() }
        start("a")
        agent.feed(EngineEvent.CallEnded(LeaseId("a"), 200))
        agent.release("a")
        val dropped = others.flatMapIndexed { index, other ->
            start("other$index", other)
            agent.feed(EngineEvent.CallEnded(LeaseId("other$index"), 200))
        }
        assertTrue(EngineEffect.ForgetLease(LeaseId("a")) in dropped)
        assertEquals(2, agent.state.actions.records.size)
        assertEquals(ErrorKind.ACTION_OUTCOME_UNKNOWN, ask("b").outcome().first)
        assertEquals(ErrorKind.ACTION_OUTCOME_UNKNOWN, ask("c", unused).outcome().first)
        val kept = ask("d", others.last())
        assertEquals(1, kept.sent<PeerMessage.GrantIssued>().size)
    }

    private fun ask(lease: String, with: ActionKey = key) = agent.ask(lease) { it.action(with) }

    private fun start(lease: String, with: ActionKey = key): List<Effect> {
        ask(lease, with)
        return agent.start(lease)
    }

    private fun List<Effect>.outcome() = refusal().outcome
}
