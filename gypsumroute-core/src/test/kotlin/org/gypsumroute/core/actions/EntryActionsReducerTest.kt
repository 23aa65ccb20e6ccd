package org.gypsumroute.core.actions

import arrow.core.right
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.HostId
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PlatformEvent.DocumentRead
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.EntryHarness
import org.gypsumroute.core.admission.refuse
import org.gypsumroute.core.agent
import org.gypsumroute.core.failure
import org.gypsumroute.core.leases.LeaseRecord
import org.gypsumroute.core.outcome
import org.gypsumroute.core.refusal
import org.gypsumroute.core.sent
import org.gypsumroute.core.testDocument
import org.junit.jupiter.api.Test

/** Guards against actions that run twice or are reported as not run although they may have run. */
class EntryActionsReducerTest {
    private val document = testDocument(service = "order-desk") {
        it.copy(
            kind = ServiceKind.PLAIN,
            actions = it.actions.copy(notRepeatable = listOf("/print"))
        )
    }
    private val key = "a2~a2#1~5~signature"

    private fun entry(connected: Boolean = true) =
        EntryHarness(listOf(document), connected = connected)

    private fun EntryHarness.print(key: String? = this@EntryActionsReducerTest.key) =
        call("r", "/print", key)

    @Test
    fun `an action is sent only to the agent process that issued its key`() {
        val entry = entry()
        val order = entry.print().sent<PeerMessage.GrantRequest>().single().order
        assertEquals(ActionKey(key), order.actionKey)
        assertEquals(HostId("a2"), entry.leases("r").single().host)
        val restarted = entry().apply { connect("a2", "a2#2") }.print()
        assertEquals(ErrorKind.ACTION_OUTCOME_UNKNOWN, restarted.failure().kind)
        assertTrue(restarted.sent<PeerMessage.GrantRequest>().isEmpty())
        assertEquals(ErrorKind.ACTION_KEY_MISSING, entry().print(null).failure().kind)
        assertEquals(ErrorKind.ACTION_KEY_INVALID, entry().print("my-key").failure().kind)
        assertEquals(ErrorKind.ACTION_OUTCOME_UNKNOWN, entry().print("x~1~1~s").failure().kind)
    }

    @Test
    fun `a dispatched action is dispatched again only if the agent reports not_run`() {
        val outcomeLosses = listOf<EntryHarness.(LeaseRecord) -> Unit>(
            { connect("a2", "a2#2") },
            { failWork(it, ErrorKind.PLAIN_SERVICE_FAILED, RunState.UNKNOWN) },
            {
                disconnect("a2")
                advance(5.seconds)
                fireTimer(TimerId.PeerSilence(HostId("a2")))
            }
        )
        for (loseOutcome in outcomeLosses) {
            val entry = entry()
            entry.print()
            entry.loseOutcome(entry.grantFirstLease("r"))
            assertEquals(RunState.UNKNOWN, entry.effects.failure().runState)
            assertEquals(1, entry.effects.sent<PeerMessage.Dispatch>().size)
        }
        val entry = entry()
        entry.print()
        entry.failWork(entry.grantFirstLease("r"), ErrorKind.PLAIN_SERVICE_FAILED, RunState.NOT_RUN)
        entry.fireTimer(TimerId.Attempt(RequestId("r")))
        entry.grantFirstLease("r")
        assertEquals(2, entry.effects.sent<PeerMessage.Dispatch>().size)
    }

    @Test
    fun `an agent's refusal of an action is passed on with its run state`() {
        val entry = entry()
        entry.print()
        val lease = entry.leases("r").single()
        val refused = entry.refuse(lease, ErrorKind.ACTION_IN_PROGRESS, RunState.UNKNOWN)
        assertEquals(ErrorKind.ACTION_IN_PROGRESS, refused.failure().kind)
        assertEquals(RunState.UNKNOWN, refused.failure().runState)
    }

    @Test
    fun `an action whose data centre is taken out fails with an unknown run state`() {
        val entry = entry()
        entry.print()
        val out = testDocument(version = 2, service = "order-desk") {
            document.document.copy(
                version = it.version,
                dataCentresOut = setOf(DataCentreId("thamel"))
            )
        }
        val failure = entry.feed(DocumentRead(null, out.right())).failure()
        assertEquals(ErrorKind.DATA_CENTRE_OUT, failure.kind)
        assertEquals(RunState.UNKNOWN, failure.runState)
    }

    @Test
    fun `an unreachable issuer is connected to and the outcome is unknown at the deadline`() {
        val entry = entry(connected = false)
        val hosts = entry.state.common.hosts.values
        entry.state = entry.state.copy(
            common = entry.state.common.copy(peers = entry.state.common.peers.clear())
        )
        val connect = PeerEffect.Connect(hosts.single { it.host == HostId("a2") })
        assertEquals(listOf(connect), entry.print().filterIsInstance<PeerEffect.Connect>())
        assertTrue(
            entry.fireTimer(TimerId.Attempt(RequestId("r"))).none {
                it is PeerEffect.Connect
            }
        )
        val failure = entry.advance(10.seconds).failure()
        assertEquals(ErrorKind.ACTION_OUTCOME_UNKNOWN, failure.kind)
        assertEquals(RunState.UNKNOWN, failure.runState)
    }

    @Test
    fun `a caller that disconnects does not cancel a dispatched action`() {
        val entry = entry()
        entry.print()
        entry.grantFirstLease("r")
        val left = entry.feed(CallerEvent.Left(RequestId("r")))
        assertTrue(left.sent<PeerMessage.LeaseRelease>().isEmpty())
        assertTrue(entry.state.leases.isEmpty())
    }

    @Test
    fun `an action key is requested from another agent if the first does not answer`() {
        val entry = entry()
        entry.open("k")
        val keyRequest = CallerEvent.ActionKeyWanted(
            RequestId("k"),
            ServiceId("order-desk"),
            "digest-1",
            null
        )
        val first = entry.feed(keyRequest).single { it is PeerEffect.Send } as PeerEffect.Send
        val second = entry.fireTimer(TimerId.Attempt(RequestId("k")))
            .filterIsInstance<PeerEffect.Send>().single()
        assertTrue(first.connection != second.connection)
        val issued = PeerMessage.ActionKeyIssued(RequestId("k"), ActionKey(key))
        val answer = CallerEffect.AnswerActionKey(RequestId("k"), ActionKey(key))
        assertTrue(answer in entry.receive("a1", issued))
        assertTrue(answer !in entry.receive("a2", issued), "a second key is ignored")
    }
}
