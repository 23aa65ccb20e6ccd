package org.gypsumroute.core.leases

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RunState
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.AgentFixture
import org.gypsumroute.core.admission.requestGrant
import org.gypsumroute.core.agent
import org.gypsumroute.core.asSegment
import org.gypsumroute.core.failure
import org.gypsumroute.core.outcome
import org.gypsumroute.core.requests.startWork
import org.gypsumroute.core.sent
import org.gypsumroute.core.workFailure
import org.junit.jupiter.api.Test

/** Guards against leases that outlive their entry and against memory that is never freed. */
class AgentLeasesReducerTest {
    private val agent = AgentFixture().apply { checkEngine() }
    private val lease = LeaseId("a")

    @Test
    fun `a request is granted, dispatched and answered, and its lease is removed`() {
        assertEquals(lease, agent.requestGrant("a").sent<PeerMessage.GrantIssued>().single().lease)
        assertEquals(Tokens(1_500), agent.state.ledger.reservedMemory)
        assertTrue(agent.dispatch("a").any { it is EngineEffect.ReceiveBody })
        val open = agent.feed(EngineEvent.BodyReceived(lease))
        assertEquals(
            EngineEffect.OpenStream(lease, Tokens(500), 0, emptyList()),
            open.filterIsInstance<EngineEffect>().single()
        )
        agent.feed(EngineEvent.StreamEnded(lease, Tokens(40)))
        assertEquals(Tokens.ZERO, agent.state.ledger.reservedMemory)
        assertTrue(EngineEffect.ForgetLease(lease) in agent.release("a"))
        assertTrue(agent.state.leases.isEmpty())
    }

    @Test
    fun `an expired grant is never dispatched, also when the process was paused`() {
        agent.requestGrant("a")
        agent.advance(5.seconds)
        assertEquals(Tokens.ZERO, agent.state.ledger.reservedMemory)
        val failure = agent.dispatch("a").workFailure()
        assertEquals(ErrorKind.LEASE_EXPIRED to RunState.UNKNOWN, failure.outcome)
    }

    @Test
    fun `a running lease is kept while it is renewed and cancelled after the lease time`() {
        agent.grantAndStart("a")
        repeat(3) {
            agent.advance(8.seconds)
            agent.renew("a")
        }
        assertEquals(LeasePhase.RUNNING, agent.state.leases[lease]?.phase)
        agent.grantAndStart("b")
        agent.renew("a")
        val effects = agent.advance(5.seconds) + agent.advance(5.seconds)
        assertTrue(EngineEffect.CancelStream(LeaseId("b")) in effects)
        assertEquals(2, agent.state.ledger.reservations.size)
    }

    @Test
    fun `a stream past its deadline is cancelled and its memory stays until the engine confirms`() {
        agent.requestGrant("a") { it.copy(remaining = 3.seconds) }
        agent.startWork("a")
        val effects = agent.advance(3.seconds)
        assertTrue(EngineEffect.CancelStream(lease) in effects)
        assertEquals(ErrorKind.DEADLINE_EXCEEDED, effects.workFailure().kind)
        assertEquals(Tokens(1_500), agent.state.ledger.reservedMemory)
        agent.feed(EngineEvent.CancelConfirmed(lease))
        assertEquals(Tokens.ZERO, agent.state.ledger.reservedMemory)
    }

    @Test
    fun `a lease released while its prompt arrives never reaches the engine`() {
        agent.requestGrant("a")
        agent.dispatch("a")
        agent.release("a")
        val effects = agent.feed(EngineEvent.BodyReceived(lease))
        assertTrue(effects.none { it is EngineEffect.OpenStream })
        assertTrue(agent.state.ledger.reservations.isEmpty())
    }

    @Test
    fun `a restarted entry cannot use or keep the leases of its earlier process`() {
        agent.grantAndStart("a")
        assertTrue(EngineEffect.CancelStream(lease) in agent.connect("entry-1#2", 2))
        assertEquals(ErrorKind.LEASE_EXPIRED, agent.renew("a").workFailure().kind)
    }

    @Test
    fun `a dispatch repeated on a fresh connection does not open a second stream`() {
        agent.grantAndStart("a")
        agent.connect("entry-1#1", 2)
        assertTrue(agent.dispatch("a").none { it is EngineEffect })
        assertTrue(agent.feed(EngineEvent.BodyReceived(lease)).none { it is EngineEffect })
    }

    @Test
    fun `the grant of a group waits for the other members while it is renewed`() {
        agent.requestGrant("a") { it.asSegment() }
        agent.requestGrant("b")
        repeat(2) {
            agent.advance(4.seconds)
            agent.renew("a", "b")
        }
        agent.advance(10.milliseconds)
        assertEquals(setOf(lease), agent.state.leases.keys)
    }
}
