package org.gypsumroute.core.engine

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.EngineModel
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.FencingNumber
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.ModelId
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.AgentFixture
import org.gypsumroute.core.admission.requestGrant
import org.gypsumroute.core.agent
import org.gypsumroute.core.agentRecord
import org.gypsumroute.core.engineState
import org.gypsumroute.core.leases.checkEngine
import org.gypsumroute.core.map
import org.gypsumroute.core.menuModel
import org.gypsumroute.core.refusal
import org.gypsumroute.core.sent
import org.gypsumroute.core.testDocument
import org.gypsumroute.core.testNode
import org.junit.jupiter.api.Test

/** Guards against model orders that conflict, interrupt work or reload a whole pool at once. */
class EngineOrdersTest {
    private val otherModel = EngineModel(ModelId("other"), null, "1")
    private val wrongModelState = engineState(loaded = otherModel, fencing = 7)
    private val timer = RuntimeEvent.TimerFired(TimerId.EngineOrder)

    @Test
    fun `an order follows a fresh read and is numbered above the engine's highest`() {
        val agent = AgentFixture()
        val delay = agent.checkEngine(
            wrongModelState
        ).filterIsInstance<RuntimeEffect.SetTimer>().last()
        assertEquals(RuntimeEffect.SetTimer(TimerId.EngineOrder, 0.seconds), delay)
        assertEquals(ErrorKind.NO_ENDPOINT, agent.requestGrant("a").refusal().kind)
        assertTrue(EngineEffect.ReadState in agent.feed(timer))
        val order = EngineEffect.LoadModel(menuModel, FencingNumber(8))
        assertTrue(order in agent.feed(EngineEvent.StateRead(wrongModelState)))
        assertTrue(agent.checkEngine(wrongModelState).orders().isEmpty())
        agent.checkEngine(engineState(fencing = 8))
        assertEquals(1, agent.requestGrant("b").sent<PeerMessage.GrantIssued>().size)
    }

    @Test
    fun `a refused order is repeated with a higher number after the next read`() {
        val agent = AgentFixture()
        agent.checkEngine(wrongModelState)
        agent.feed(timer)
        agent.feed(EngineEvent.StateRead(wrongModelState))
        val refused = agent.feed(EngineEvent.OrderAnswered(FencingNumber(8), false, "stale"))
        val logs = refused.filterIsInstance<RuntimeEffect.Log>().map { it.event }
        assertEquals(listOf(LogEvent.ENGINE_ORDER_REFUSED), logs)
        assertEquals(
            listOf(FencingNumber(9)),
            agent.checkEngine(wrongModelState).orders().map {
                it.fencing
            }
        )
        val ahead = engineState(loaded = otherModel, fencing = 20)
        agent.feed(EngineEvent.OrderAnswered(FencingNumber(9), false, "stale"))
        assertEquals(
            listOf(FencingNumber(21)),
            agent.checkEngine(ahead).orders().map {
                it.fencing
            }
        )
    }

    @Test
    fun `an order waits for running work and holds back new work`() {
        val documents = listOf(
            testDocument(),
            testDocument(service = "a-first") { it.copy(model = otherModel) }
        )
        val agent = AgentFixture(documents).apply { checkEngine() }
        agent.grantAndStart("a")
        agent.feed(timer)
        val busy = agent.checkEngine(engineState(streams = mapOf("a" to 1_500)))
        assertTrue(busy.orders().isEmpty())
        assertEquals(ErrorKind.NO_ENDPOINT, agent.requestGrant("b").refusal().kind)
        agent.feed(EngineEvent.StreamEnded(LeaseId("a"), Tokens(1)))
        assertEquals(listOf(otherModel), agent.checkEngine().orders().map { it.model })
    }

    @Test
    fun `orders are at least the dwell time apart and first orders are staggered by rank`() {
        val agent = AgentFixture()
        agent.feed(PlatformEvent.HostsRead((1..6).map { agentRecord("agent-$it") }))
        val rank = poolRank(agent.state.common)
        assertEquals(10.seconds * rank, agent.checkEngine(wrongModelState).delay())
        agent.feed(timer)
        agent.checkEngine(wrongModelState)
        agent.checkEngine(engineState(fencing = 8))
        agent.advance(1.minutes)
        val delay = agent.checkEngine(wrongModelState).delay()!!
        assertTrue(delay > 3.minutes && delay <= 5.minutes + 10.seconds * rank, "$delay")
    }

    @Test
    fun `the endpoints of a pool share its models evenly`() {
        val documents = listOf(
            testDocument(),
            testDocument(service = "a-first") { it.copy(model = otherModel) }
        )
        val common = AgentFixture(documents).apply {
            feed(PlatformEvent.HostsRead((1..6).map { agentRecord("agent-$it") }))
        }.state.common
        val models = (1..6).map {
            assignedModel(common.copy(node = testNode("agent-$it", NodeRole.AGENT)))
        }
        assertEquals(listOf(3, 3), models.groupBy { it }.values.map { it.size })
    }

    private fun List<Effect>.orders() = filterIsInstance<EngineEffect.LoadModel>()

    private fun List<Effect>.delay() = filterIsInstance<RuntimeEffect.SetTimer>()
        .find { it.timer == TimerId.EngineOrder }?.after
}
