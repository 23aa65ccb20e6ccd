package org.gypsumroute.core.requests

import arrow.core.right
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.HostId
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PlatformEvent.DocumentRead
import org.gypsumroute.api.PrefixDigest
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.EntryHarness
import org.gypsumroute.core.PlacementCandidate
import org.gypsumroute.core.PlacementContext
import org.gypsumroute.core.PlacementPolicy
import org.gypsumroute.core.admission.refuse
import org.gypsumroute.core.agent
import org.gypsumroute.core.failure
import org.gypsumroute.core.failures
import org.gypsumroute.core.map
import org.gypsumroute.core.peers.expectedWait
import org.gypsumroute.core.sent
import org.gypsumroute.core.summary
import org.gypsumroute.core.testDocument
import org.gypsumroute.core.testPolicies
import org.gypsumroute.core.then
import org.junit.jupiter.api.Test

/** Guards against work for hosts that may not receive any, and against unbounded retries. */
class PlacementReducerTest {
    private val thamelOut = testDocument(version = 2) {
        it.copy(dataCentresOut = setOf(DataCentreId("thamel")))
    }
    private val attemptTimer = TimerId.Attempt(RequestId("r"))

    @Test
    fun `no lease is requested from hosts that are leaving, out, silent or in another pool`() {
        val hosts = listOf(
            agent("a1", leaving = true),
            agent("a2"),
            agent("a3", "patan"),
            agent("a4", "patan", pool = "desk"),
            agent("a5", "patan")
        )
        val entry = EntryHarness(listOf(thamelOut), hosts)
        entry.advance(5.seconds)
        entry.fireTimer(TimerId.Heartbeat)
        listOf("a1", "a2", "a3", "a4").forEach { entry.answerHeartbeat(it) }
        repeat(4) { entry.advance(1.seconds) }
        val opened = entry.fireTimer(TimerId.Heartbeat).filterIsInstance<PeerEffect.Connect>()
        assertEquals(HostId("a5"), opened.single().record.host)
        entry.generate("r")
        assertEquals(listOf(HostId("a3")), entry.leases("r").map { it.host })
    }

    @Test
    fun `leases in a data centre that is taken out are released, also after a late grant`() {
        val entry = EntryHarness()
        entry.generate("r")
        val lease = entry.leases("r").first { it.host.value != "a3" }
        val afterOut = entry.feed(DocumentRead(null, thamelOut.right()))
        assertTrue(lease.lease in afterOut.sent<PeerMessage.LeaseRelease>().map { it.lease })
        assertEquals(listOf(HostId("a3")), entry.leases("r").map { it.host })
        val effects = entry.grant(lease)
        assertEquals(lease.lease, effects.sent<PeerMessage.LeaseRelease>().single().lease)
        assertTrue(effects.sent<PeerMessage.Dispatch>().isEmpty())
    }

    @Test
    fun `without an endpoint a request waits and is refused before its deadline`() {
        val out = EntryHarness(listOf(thamelOut), listOf(agent("a1")))
        for ((entry, kind) in listOf(
            EntryHarness(connected = false) to ErrorKind.NO_ENDPOINT,
            out to ErrorKind.DATA_CENTRE_OUT
        )) {
            val deadline = entry.now + 2.seconds
            entry.generate("r", timeout = 2.seconds)
            while (entry.effects.failures().isEmpty()) {
                entry.advance(100.milliseconds)
                entry.fireTimer(attemptTimer)
            }
            assertEquals(kind, entry.effects.failure().kind)
            assertEquals(RunState.NOT_RUN, entry.effects.failure().runState)
            assertTrue(entry.now < deadline)
        }
    }

    @Test
    fun `a waiting request is placed at its next attempt after an endpoint connects`() {
        val entry = EntryHarness(connected = false)
        entry.generate("r")
        entry.connect("a1")
        assertEquals(1, entry.fireTimer(attemptTimer).sent<PeerMessage.GrantRequest>().size)
    }

    @Test
    fun `a prompt that cannot be processed before its deadline is refused at once`() {
        val entry =
            EntryHarness(policies = testPolicies.copy(prefillEstimate = { _, _ -> 5.seconds }))
        val effects = entry.generate("r", timeout = 4.seconds)
        assertEquals(ErrorKind.DEADLINE_UNREACHABLE, effects.failure().kind)
    }

    @Test
    fun `refusals are retried within the retry budget, then reported as not_run`() {
        val entry = EntryHarness()
        entry.state = entry.state.copy(retryBudget = 0.5)
        entry.generate("r")
        val (first, second) = entry.leases("r")
        assertTrue(entry.refuse(first).failures().isEmpty(), "the second endpoint may still grant")
        val failure = entry.refuse(second).failure()
        assertEquals(ErrorKind.OVERLOADED to RunState.NOT_RUN, failure.kind to failure.runState)

        entry.state = entry.state.copy(retryBudget = 1.0)
        entry.generate("s")
        entry.leases("s").forEach { entry.refuse(it) }
        assertEquals(1, entry.leases("s").size, "only the third endpoint is left to ask")
        assertTrue(entry.state.retryBudget < 1)
    }

    @Test
    fun `placement ranks by wait, then by free memory, and omits endpoints that refuse work`() {
        fun candidate(host: String, wait: Long, free: Long, accepting: Boolean = true) =
            PlacementCandidate(
                agent(host),
                summary(free, wait.milliseconds).copy(accepting = accepting),
                openLeases = if (host == "slow") 0 else 1
            )
        val context = PlacementContext(
            listOf(
                candidate("slow", 500, 90_000),
                candidate("full", 0, 1_000),
                candidate("free", 0, 90_000),
                candidate("closed", 0, 90_000, accepting = false)
            ),
            Tokens(5_000),
            PrefixDigest(1),
            "thamel",
            1
        )
        fun order(policy: PlacementPolicy) = policy(context).map { it.hostRecord.host.value }
        assertEquals(listOf("free", "full", "slow"), order(PlacementPolicies.expectedWait))
        assertEquals("slow", order(PlacementPolicies.leastOutstanding).first())
    }
}
