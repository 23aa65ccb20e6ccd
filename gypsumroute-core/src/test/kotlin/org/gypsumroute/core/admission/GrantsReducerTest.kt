package org.gypsumroute.core.admission

import arrow.core.right
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EncodedDocument
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind
import org.gypsumroute.core.AgentFixture
import org.gypsumroute.core.agent
import org.gypsumroute.core.agentRecord
import org.gypsumroute.core.asSegment
import org.gypsumroute.core.failure
import org.gypsumroute.core.leases.LeasePhase
import org.gypsumroute.core.leases.checkEngine
import org.gypsumroute.core.notRun
import org.gypsumroute.core.outcome
import org.gypsumroute.core.refusal
import org.gypsumroute.core.requests.place
import org.gypsumroute.core.requests.retry
import org.gypsumroute.core.sent
import org.gypsumroute.core.summary
import org.gypsumroute.core.testDocument
import org.gypsumroute.core.withPrompt
import org.junit.jupiter.api.Test

/** Guards against overload, head-of-line blocking and grants of endpoints that must not serve. */
class GrantsReducerTest {
    private val agent = AgentFixture().apply { checkEngine() }

    @Test
    fun `nothing is granted before the engine has reported or while it does not answer`() {
        assertEquals(ErrorKind.NO_ENDPOINT, AgentFixture().requestGrant("a").refusal().kind)
        agent.feed(EngineEvent.Unreachable("timeout"))
        assertTrue(agent.requestGrant("b").sent<PeerMessage.GrantIssued>().isNotEmpty())
        agent.feed(EngineEvent.Unreachable("timeout"))
        assertEquals(ErrorKind.NO_ENDPOINT, agent.requestGrant("c").refusal().kind)
    }

    @Test
    fun `work for a service without a document or another kind of service is refused`() {
        val unknown = agent.requestGrant("a") { it.copy(service = ServiceId("other")) }.refusal()
        assertEquals(ErrorKind.SERVICE_UNKNOWN to notRun, unknown.outcome)
        val call = agent.requestGrant("b") { it.copy(kind = WorkKind.CALL) }
        assertEquals(ErrorKind.SERVICE_KIND_MISMATCH, call.refusal().kind)
    }

    @Test
    fun `queued work is refused when the data centre is taken out, and running work continues`() {
        fillSlots()
        agent.requestGrant("queued")
        val out = document(2) { it.copy(dataCentresOut = setOf(DataCentreId("thamel"))) }
        val failure = agent.feed(PlatformEvent.DocumentRead(null, out.right())).refusal()
        assertEquals(ErrorKind.DATA_CENTRE_OUT to notRun, failure.outcome)
        assertEquals(8, agent.state.ledger.slotsInUse)
        assertEquals(ErrorKind.DATA_CENTRE_OUT, agent.requestGrant("late").refusal().kind)
    }

    @Test
    fun `queued work is refused when the service is withdrawn or the host leaves`() {
        fillSlots()
        agent.requestGrant("queued")
        val hosts = PlatformEvent.HostsRead(listOf(agentRecord("agent-1", leaving = true)))
        assertEquals(ErrorKind.DRAINING, agent.feed(hosts).refusal().kind)
        agent.feed(PlatformEvent.HostsRead(emptyList()))
        agent.requestGrant("again")
        val withdrawn = document(3) { it.copy(withdrawn = true) }
        val effects = agent.feed(PlatformEvent.DocumentRead(null, withdrawn.right()))
        assertEquals(ErrorKind.SERVICE_UNKNOWN, effects.refusal().kind)
    }

    @Test
    fun `a full queue refuses with a time to retry, and a repeated request keeps its place`() {
        val small = document(2) { it.copy(limits = it.limits.copy(queuePerEndpoint = 1)) }
        agent.feed(PlatformEvent.DocumentRead(null, small.right()))
        fillSlots()
        assertEquals(1, agent.requestGrant("queued").sent<PeerMessage.GrantQueued>().size)
        assertEquals(1, agent.requestGrant("queued").sent<PeerMessage.GrantQueued>().size)
        val failure = agent.requestGrant("over").refusal()
        assertEquals(ErrorKind.OVERLOADED to notRun, failure.outcome)
        assertTrue(failure.retryAfter!! >= 1.seconds)
    }

    @Test
    fun `queued work is granted when a stream ends`() {
        fillSlots()
        agent.requestGrant("queued")
        val effects = agent.feed(EngineEvent.StreamEnded(LeaseId("a0"), Tokens(5)))
        val issued = effects.sent<PeerMessage.GrantIssued>().single()
        assertEquals(LeaseId("queued"), issued.lease)
    }

    @Test
    fun `longer classes leave the memory and slots reserved for shorter ones`() {
        repeat(5) { index -> agent.requestGrant("m$index") { it.withPrompt(9_000, "medium") } }
        val sixth = agent.requestGrant("m5") { it.withPrompt(9_000, "medium") }
        assertEquals(1, sixth.sent<PeerMessage.GrantQueued>().size)
        repeat(3) {
            assertEquals(1, agent.requestGrant("s$it").sent<PeerMessage.GrantIssued>().size)
        }
        val memory = AgentFixture().apply { checkEngine() }
        memory.requestGrant("m0") { it.withPrompt(69_000, "medium") }
        val second = memory.requestGrant("m1") { it.withPrompt(9_000, "medium") }
        assertEquals(1, second.sent<PeerMessage.GrantQueued>().size)
        val short = memory.requestGrant("s") { it.withPrompt(7_500, "short") }
        assertEquals(1, short.sent<PeerMessage.GrantIssued>().size)
    }

    @Test
    fun `a prompt that exceeds its class's memory is refused instead of queued for ever`() {
        val failure = agent.requestGrant("a") { it.withPrompt(80_000, "medium") }.refusal()
        assertEquals(ErrorKind.NO_ENDPOINT to notRun, failure.outcome)
    }

    @Test
    fun `work that cannot start in time is refused, at once or from the queue`() {
        val slow = agent.requestGrant("a") {
            it.withPrompt(60_000, "medium").copy(remaining = 0.5.seconds)
        }
        assertEquals(ErrorKind.DEADLINE_UNREACHABLE, slow.refusal().kind)
        fillSlots()
        agent.requestGrant("queued") { it.copy(remaining = 4.seconds) }
        agent.advance(3.9.seconds)
        val failure = agent.advance(0.1.seconds).refusal()
        assertEquals(ErrorKind.DEADLINE_UNREACHABLE to notRun, failure.outcome)
    }

    @Test
    fun `an endpoint holds the lease of one group at a time`() {
        assertEquals(
            1,
            agent.requestGrant("a") {
                it.asSegment()
            }.sent<PeerMessage.GrantIssued>().size
        )
        assertEquals(
            1,
            agent.requestGrant("b") {
                it.asSegment()
            }.sent<PeerMessage.GrantQueued>().size
        )
        agent.release("a")
        assertEquals(LeasePhase.GRANTED, agent.state.leases[LeaseId("b")]?.phase)
    }

    @Test
    fun `queued work of a disconnected entry is dropped`() {
        fillSlots()
        agent.requestGrant("queued") { it.copy(remaining = 5.minutes) }
        agent.feed(
            PeerEvent.Disconnected(
                agent.entry,
                ConnectionId(1),
                "closed"
            )
        )
        agent.advance(10.seconds)
        assertTrue(agent.state.queue.isEmpty())
    }

    @Test
    fun `a heartbeat is answered with the endpoint's load`() {
        fillSlots()
        agent.requestGrant("queued")
        val answer = agent.send(PeerMessage.Heartbeat(0, null)).sent<PeerMessage.Heartbeat>()
        val summary = answer.single().summary!!
        assertEquals(Tokens(88_000), summary.freeMemory)
        assertEquals(listOf(8, 1), listOf(summary.runningStreams, summary.queued))
        assertTrue(summary.accepting)
        agent.feed(RuntimeEvent.DrainRequested)
        val drained = agent.send(PeerMessage.Heartbeat(0, null)).sent<PeerMessage.Heartbeat>()
        assertEquals(false, drained.single().summary?.accepting)
    }

    private fun fillSlots() = repeat(8) { agent.grantAndStart("a$it") }

    private fun document(
        version: Long,
        change: (ServiceDocument) -> ServiceDocument
    ): EncodedDocument = testDocument(version, change = change)
}
