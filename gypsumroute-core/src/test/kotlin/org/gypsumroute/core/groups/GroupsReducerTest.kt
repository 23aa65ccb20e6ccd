package org.gypsumroute.core.groups

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.HostId
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind
import org.gypsumroute.core.EntryHarness
import org.gypsumroute.core.admission.refuse
import org.gypsumroute.core.agent
import org.gypsumroute.core.failure
import org.gypsumroute.core.leases.LeaseRecord
import org.gypsumroute.core.leases.LeaseStage
import org.gypsumroute.core.map
import org.gypsumroute.core.sent
import org.gypsumroute.core.testDocument
import org.junit.jupiter.api.Test

/** Guards against groups that leak leases, deadlock or lose a segment. */
class GroupsReducerTest {
    private val hosts = (1..6).map { agent("a$it") } + agent("p1", "patan")

    private fun entry(share: Double = 0.5) = EntryHarness(
        listOf(testDocument { it.copy(group = it.group.copy(dataCentreShare = share)) }),
        hosts
    )

    private fun EntryHarness.requestGroup(id: String = "r") = generate(id, prompt = 200_000)

    private fun EntryHarness.leaseAwaitingGrant(id: String = "r"): LeaseRecord =
        leases(id).single { it.stage == LeaseStage.ASKED }

    @Test
    fun `member leases are requested in host id order and segments run one after the other`() {
        val entry = entry()
        val orders = entry.requestGroup().sent<PeerMessage.GrantRequest>().toMutableList()
        repeat(2) {
            orders +=
                entry.grant(entry.leaseAwaitingGrant()).sent<PeerMessage.GrantRequest>()
        }
        assertEquals(200_000, orders.sumOf { it.order.promptTokens.count })
        assertEquals(
            listOf(WorkKind.SEGMENT to 0L, WorkKind.SEGMENT to 0L, WorkKind.GENERATION to 100L),
            orders.map { it.order.kind to it.order.outputLimit.count }
        )
        val started = entry.grant(entry.leaseAwaitingGrant())
        val leases = entry.leases("r")
        assertEquals(leases.map { it.host }, leases.map { it.host }.sortedBy { it.value })
        assertEquals(leases[0].lease, started.sent<PeerMessage.Dispatch>().single().lease)
        entry.segmentReady(leases[0])
        assertTrue(entry.segmentReady(leases[0]).sent<PeerMessage.Dispatch>().isEmpty())
        val last = entry.segmentReady(leases[1])
        assertEquals(2, last.sent<PeerMessage.Dispatch>().single().imports.size)
        val read = CallerEffect.ReadAnswer(RequestId("r"), leases[2].lease, Tokens(100))
        assertTrue(read in last)
        val released = entry.complete(entry.leases("r")[2]).sent<PeerMessage.LeaseRelease>()
        assertEquals(leases.map { it.lease }.toSet(), released.map { it.lease }.toSet())
    }

    @Test
    fun `a refused, late or lost member lease releases all leases and excludes its host`() {
        val memberFailures = listOf<EntryHarness.() -> Unit>(
            { refuse(leaseAwaitingGrant()) },
            { fireTimer(TimerId.Attempt(RequestId("r"))) },
            { disconnect(leaseAwaitingGrant().host.value) }
        )
        for (failMember in memberFailures) {
            val entry = entry()
            entry.requestGroup()
            entry.grant(entry.leaseAwaitingGrant())
            val failed = entry.leaseAwaitingGrant().host
            val granted = entry.leases("r").single { it.stage == LeaseStage.GRANTED }
            val start = entry.effects.size
            entry.failMember()
            val released = entry.effects.drop(start).sent<PeerMessage.LeaseRelease>()
            assertTrue(granted.lease in released.map { it.lease })
            assertTrue(entry.leases("r").isEmpty())
            entry.fireTimer(TimerId.Attempt(RequestId("r")))
            val plan = entry.state.requests.getValue(RequestId("r")).group!!
            assertTrue(failed !in plan.members.map { it.host })
        }
    }

    @Test
    fun `a group that loses a running member releases all leases with an unknown run state`() {
        val entry = entry()
        entry.requestGroup()
        repeat(3) { entry.grant(entry.leaseAwaitingGrant()) }
        entry.state = entry.state.copy(retryBudget = 0.0)
        val effects = entry.failWork(
            entry.leases("r")[0],
            ErrorKind.ENGINE_FAILED,
            RunState.RAN
        )
        assertEquals(ErrorKind.GROUP_UNAVAILABLE, effects.failure().kind)
        assertEquals(RunState.UNKNOWN, effects.failure().runState)
        assertEquals(3, effects.sent<PeerMessage.LeaseRelease>().size)
        assertTrue(entry.state.leases.isEmpty())
    }

    @Test
    fun `groups use at most their configured share of a data centre`() {
        val entry = entry()
        entry.requestGroup("r")
        repeat(2) { entry.grant(entry.leaseAwaitingGrant("r")) }
        assertTrue(entry.requestGroup("s").sent<PeerMessage.GrantRequest>().isEmpty())
        assertTrue(entry(share = 0.2).requestGroup().sent<PeerMessage.GrantRequest>().isEmpty())
        assertTrue(entry.leases("r").none { it.host == HostId("p1") })
    }
}
