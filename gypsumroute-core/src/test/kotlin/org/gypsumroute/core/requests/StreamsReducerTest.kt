package org.gypsumroute.core.requests

import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.HostId
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.EntryHarness
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.agent
import org.gypsumroute.core.failure
import org.gypsumroute.core.failures
import org.gypsumroute.core.leases.LeaseRecord
import org.gypsumroute.core.map
import org.gypsumroute.core.outcome
import org.gypsumroute.core.sent
import org.junit.jupiter.api.Test

/** Guards against answers that are cut off or too long, and failures with a wrong run state. */
class StreamsReducerTest {
    @Test
    fun `a request gets a lease, is dispatched and completed, and leaves no state behind`() {
        val entry = EntryHarness()
        assertEquals(2, entry.generate("r").sent<PeerMessage.GrantRequest>().size)
        val lease = entry.leases("r").first()
        val granted = entry.grant(lease)
        assertEquals(lease.lease, granted.sent<PeerMessage.Dispatch>().single().lease)
        assertEquals(1, granted.sent<PeerMessage.LeaseRelease>().size)
        assertTrue(granted.any { it is CallerEffect.Upload })
        val completed = entry.complete(lease)
        assertEquals(lease.lease, completed.sent<PeerMessage.LeaseRelease>().single().lease)
        val taken = entry.feed(CallerEvent.AnswerTaken(RequestId("r")))
        assertTrue(CallerEffect.Forget(RequestId("r")) in taken)
        val fresh = EntryState(entry.state.common)
        val kept = entry.state.copy(
            deadlines = fresh.deadlines,
            nextLeaseNumber = fresh.nextLeaseNumber,
            retryBudget = fresh.retryBudget
        )
        assertEquals(fresh, kept, "state of the request is left behind")
    }

    @Test
    fun `a second grant is released and not dispatched`() {
        val entry = EntryHarness()
        entry.generate("r")
        val (first, second) = entry.leases("r")
        entry.grant(first)
        val late = entry.grant(second)
        assertEquals(second.lease, late.sent<PeerMessage.LeaseRelease>().single().lease)
        assertTrue(late.sent<PeerMessage.Dispatch>().isEmpty())
    }

    @Test
    fun `a deadline that passes before dispatch gives not_run and releases the leases`() {
        val entry = EntryHarness()
        entry.generate("r", timeout = 2.seconds)
        val expired = entry.advance(2.seconds)
        assertEquals(ErrorKind.DEADLINE_EXCEEDED, expired.failure().kind)
        assertEquals(RunState.NOT_RUN, expired.failure().runState)
        assertEquals(2, expired.sent<PeerMessage.LeaseRelease>().size)
    }

    @Test
    fun `generation continues elsewhere with an output limit reduced by the delivered tokens`() {
        val entry = EntryHarness()
        entry.generate("r", prompt = 1_000, output = 100)
        val first = entry.grantFirstLease("r")
        entry.progress(first, 30)
        val moved = entry.failWork(first, ErrorKind.ENGINE_FAILED, RunState.RAN)
        val order = moved.sent<PeerMessage.GrantRequest>().first().order
        assertEquals(Tokens(1_030) to Tokens(70), order.promptTokens to order.outputLimit)
        val second = entry.leases("r").first()
        assertNotEquals(first.host, second.host)
        val dispatched = entry.grant(second).sent<PeerMessage.Dispatch>().single()
        assertEquals(Tokens(70), dispatched.outputLimit)
        entry.progress(first, 90)
        entry.progress(second, 20)
        val movedAgain = entry.failWork(second, ErrorKind.ENGINE_FAILED, RunState.RAN)
        val last = movedAgain.sent<PeerMessage.GrantRequest>().first().order
        assertEquals(Tokens(50), last.outputLimit)
    }

    @Test
    fun `a reconnected endpoint resumes the same lease with its original output limit`() {
        val entry = EntryHarness()
        entry.generate("r")
        val lease = entry.grantFirstLease("r")
        entry.progress(lease, 30)
        entry.disconnect(lease.host.value)
        val start = entry.effects.size
        val connection = entry.connect(lease.host.value)
        val effects = entry.effects.drop(start)
        val dispatch = effects.sent<PeerMessage.Dispatch>().single()
        assertEquals(lease.lease to Tokens(100), dispatch.lease to dispatch.outputLimit)
        val resume = CallerEffect.ResumeAnswer(lease.request, lease.lease, connection)
        assertTrue(resume in effects && effects.none { it is CallerEffect.Upload })
    }

    @Test
    fun `work of a restarted or silent agent moves to another endpoint`() {
        val entry = EntryHarness()
        entry.generate("r")
        val first = entry.grantFirstLease("r")
        entry.connect(first.host.value, incarnation = "restarted")
        val second = entry.leases("r").first { it.host != first.host }
        entry.grant(second)
        entry.disconnect(second.host.value)
        entry.fireTimer(TimerId.PeerSilence(second.host))
        assertEquals(listOf(second.host), entry.leases("r").map { it.host }, "moved too early")
        entry.advance(5.seconds)
        entry.fireTimer(TimerId.PeerSilence(second.host))
        assertTrue(entry.leases("r").isNotEmpty() && entry.leases("r").none { it == second })
        assertTrue(entry.leases("r").none { it.host == second.host })
    }

    @Test
    fun `after a process pause, expired requests fail before a grant is handled`() {
        val entry = EntryHarness()
        entry.generate("r", timeout = 3.seconds)
        val lease = entry.leases("r").first()
        entry.now += 60.seconds
        val afterPause = entry.grant(lease)
        assertEquals(ErrorKind.DEADLINE_EXCEEDED, afterPause.failure().kind)
        assertTrue(afterPause.sent<PeerMessage.Dispatch>().isEmpty())
    }

    @Test
    fun `the run state at the deadline reflects the outcome of the dispatched lease`() {
        fun stateAtDeadline(applyEvents: EntryHarness.(LeaseRecord) -> Unit): RunState {
            val entry = EntryHarness()
            entry.generate("r", timeout = 3.seconds)
            entry.applyEvents(entry.grantFirstLease("r"))
            return entry.advance(3.seconds).failure().runState
        }
        assertEquals(RunState.UNKNOWN, stateAtDeadline { })
        assertEquals(RunState.RAN, stateAtDeadline { progress(it, 1) })
        val refused = stateAtDeadline { failWork(it, ErrorKind.ENGINE_REFUSED, RunState.NOT_RUN) }
        assertEquals(RunState.NOT_RUN, refused)
        val lost = stateAtDeadline { failWork(it, ErrorKind.LEASE_EXPIRED, RunState.UNKNOWN) }
        assertEquals(RunState.UNKNOWN, lost)
    }

    @Test
    fun `heartbeats renew all open leases at a peer`() {
        val entry = EntryHarness()
        entry.generate("r")
        val lease = entry.grantFirstLease("r")
        val renewal = entry.fireTimer(TimerId.Heartbeat).sent<PeerMessage.LeaseRenewal>().single()
        assertEquals(listOf(lease.lease), renewal.leases)
        entry.complete(lease)
        assertTrue(entry.fireTimer(TimerId.Heartbeat).sent<PeerMessage.LeaseRenewal>().isEmpty())
    }

    @Test
    fun `the longest stalled reader fails, not one that catches up`() {
        val entry = EntryHarness(hosts = (1..3).map { agent("a$it") })
        fun reportHeld(lease: LeaseRecord, mebibytes: Long) =
            entry.progress(lease, 1, mebibytes * 1024 * 1024)
        val (reading, stalled, other) = listOf("r", "s", "t").map { id ->
            entry.generate(id, key = if (id == "t") "digest-2" else "digest-1")
            entry.grantFirstLease(id)
        }
        listOf(other, reading, stalled).forEach { reportHeld(it, 3) }
        entry.advance(1.seconds)
        reportHeld(reading, 2)
        val over = reportHeld(stalled, 7)
        assertEquals(stalled.request, over.failures().single().request)
        assertEquals(ErrorKind.READER_TOO_SLOW, over.failure().kind)
        assertEquals(stalled.lease, over.sent<PeerMessage.LeaseRelease>().single().lease)
        entry.state = entry.state.copy(maxBufferedBytes = Bytes(8L * 1024 * 1024))
        assertEquals(other.request, reportHeld(reading, 6).failures().single().request)
    }

    @Test
    fun `the deadline of an ended request does not fail a later request with the same id`() {
        val entry = EntryHarness()
        entry.generate("r", timeout = 2.seconds)
        entry.feed(CallerEvent.Left(RequestId("r")))
        entry.generate("r", timeout = 10.seconds)
        assertTrue(entry.advance(3.seconds).failures().isEmpty())
        assertEquals(ErrorKind.DEADLINE_EXCEEDED, entry.advance(7.seconds).failure().kind)
    }

    @Test
    fun `work moves away from a disconnected endpoint that is removed from the host list`() {
        val entry = EntryHarness()
        entry.generate("r")
        val lease = entry.grantFirstLease("r")
        entry.disconnect(lease.host.value)
        val remainingHosts = entry.state.common.hosts.values.filter { it.host != lease.host }
        entry.feed(PlatformEvent.HostsRead(remainingHosts))
        entry.advance(5.seconds)
        entry.fireTimer(TimerId.PeerSilence(HostId(lease.host.value)))
        assertTrue(entry.leases("r").isNotEmpty() && entry.leases("r").none { it == lease })
    }
}
