package org.gypsumroute.core.actions

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
import org.gypsumroute.core.AgentFixture
import org.gypsumroute.core.admission.requestGrant
import org.gypsumroute.core.agent
import org.gypsumroute.core.asAction
import org.gypsumroute.core.asPlainService
import org.gypsumroute.core.failure
import org.gypsumroute.core.leases.dispatch
import org.gypsumroute.core.notRun
import org.gypsumroute.core.outcome
import org.gypsumroute.core.refusal
import org.gypsumroute.core.requestActionKey
import org.gypsumroute.core.requests.dispatch
import org.gypsumroute.core.requests.startWork
import org.gypsumroute.core.sent
import org.gypsumroute.core.testDocument
import org.gypsumroute.core.workFailure
import org.junit.jupiter.api.Test

/** Guards against actions, such as placing an order, that run twice when a request is repeated. */
class AgentActionsReducerTest {
    private val agent = AgentFixture(listOf(testDocument { asPlainService(it, keptRecords = 2) }))
    private val key = agent.requestActionKey()

    @Test
    fun `an action runs and its repeat gets the recorded answer, also during a drain`() {
        assertEquals(EngineEffect.CallService(LeaseId("a"), "/orders"), startAction("a").last())
        agent.feed(EngineEvent.CallEnded(LeaseId("a"), 200))
        assertTrue(agent.release("a").none { it is EngineEffect.ForgetLease })
        agent.feed(RuntimeEvent.DrainRequested)
        assertEquals(1, requestGrant("b").sent<PeerMessage.GrantIssued>().size)
        val replayed = agent.dispatch("b").filterIsInstance<EngineEffect>()
        assertEquals(listOf(EngineEffect.ReplayAnswer(LeaseId("a"), LeaseId("b"))), replayed)
        assertTrue(EngineEffect.ForgetLease(LeaseId("b")) in agent.release("b"))
    }

    @Test
    fun `a running action refuses repeats and is not cancelled by release, expiry or deadline`() {
        startAction("a")
        assertEquals(ErrorKind.ACTION_IN_PROGRESS to RunState.UNKNOWN, requestGrant("b").outcome())
        val effects = agent.release("a") + agent.advance(40.seconds)
        assertTrue(effects.none { it is EngineEffect })
        assertEquals(1, agent.state.ledger.slotsInUse)
        agent.feed(EngineEvent.CallEnded(LeaseId("a"), 200))
        assertEquals(0, agent.state.ledger.slotsInUse)
        assertEquals(1, requestGrant("c").sent<PeerMessage.GrantIssued>().size)
    }

    @Test
    fun `an action past its deadline has an unknown outcome`() {
        startAction("a")
        repeat(3) {
            agent.advance(9.seconds)
            agent.renew("a")
        }
        val failure = agent.advance(3.seconds).workFailure()
        assertEquals(ErrorKind.DEADLINE_EXCEEDED to RunState.UNKNOWN, failure.outcome)
    }

    @Test
    fun `a call that failed has an unknown outcome, but may run again if it was not written`() {
        startAction("a")
        val unwritten = agent.feed(EngineEvent.CallFailed(LeaseId("a"), false, "refused"))
        assertEquals(notRun, unwritten.workFailure().runState)
        startAction("b")
        val broken = agent.feed(EngineEvent.CallFailed(LeaseId("b"), true, "reset"))
        assertEquals(RunState.UNKNOWN, broken.workFailure().runState)
        assertEquals(
            ErrorKind.ACTION_OUTCOME_UNKNOWN to RunState.UNKNOWN,
            requestGrant("c").outcome()
        )
    }

    @Test
    fun `an expired grant leaves the action key usable`() {
        requestGrant("a")
        assertEquals(ErrorKind.ACTION_IN_PROGRESS, requestGrant("b").outcome().first)
        agent.advance(5.seconds)
        assertEquals(1, requestGrant("c").sent<PeerMessage.GrantIssued>().size)
    }

    @Test
    fun `a forged key or one of another organisation is refused as not run`() {
        val forged = ActionKey(key.value.dropLast(1) + "x")
        assertEquals(ErrorKind.ACTION_KEY_INVALID to notRun, requestGrant("a", forged).outcome())
        val otherOrganisation = agent.requestGrant("b") {
            it.asAction(key).copy(organisation = OrganisationId("yak-hotel"))
        }
        assertEquals(ErrorKind.ACTION_KEY_INVALID to notRun, otherOrganisation.outcome())
        assertEquals(
            ErrorKind.ACTION_KEY_INVALID to notRun,
            requestGrant("c", ActionKey("1")).outcome()
        )
    }

    @Test
    fun `a key of an earlier agent process has an unknown outcome`() {
        val earlierKey = ActionKey(key.value.replace("agent-1#1", "agent-1#0"))
        assertEquals(
            ErrorKind.ACTION_OUTCOME_UNKNOWN to RunState.UNKNOWN,
            requestGrant("a", earlierKey).outcome()
        )
    }

    @Test
    fun `records are bounded and a key whose record was evicted never runs again`() {
        val unused = agent.requestActionKey()
        val others = List(3) { agent.requestActionKey() }
        startAction("a")
        agent.feed(EngineEvent.CallEnded(LeaseId("a"), 200))
        agent.release("a")
        val effects = others.flatMapIndexed { index, other ->
            startAction("other$index", other)
            agent.feed(EngineEvent.CallEnded(LeaseId("other$index"), 200))
        }
        assertTrue(EngineEffect.ForgetLease(LeaseId("a")) in effects)
        assertEquals(2, agent.state.actions.records.size)
        assertEquals(ErrorKind.ACTION_OUTCOME_UNKNOWN, requestGrant("b").outcome().first)
        assertEquals(ErrorKind.ACTION_OUTCOME_UNKNOWN, requestGrant("c", unused).outcome().first)
        val kept = requestGrant("d", others.last())
        assertEquals(1, kept.sent<PeerMessage.GrantIssued>().size)
    }

    private fun requestGrant(lease: String, with: ActionKey = key) = agent.requestGrant(lease) {
        it.asAction(with)
    }

    private fun startAction(lease: String, with: ActionKey = key): List<Effect> {
        requestGrant(lease, with)
        return agent.startWork(lease)
    }

    private fun List<Effect>.outcome() = refusal().outcome
}
