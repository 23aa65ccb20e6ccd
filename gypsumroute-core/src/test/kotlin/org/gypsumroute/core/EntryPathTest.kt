package org.gypsumroute.core

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.junit.jupiter.api.Test

/** Guards against a broken path from a request's arrival to its end. */
class EntryPathTest {
    @Test
    fun `a request is asked for, granted, dispatched, completed and forgotten`() {
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
        assertIdle(entry.state)
    }

    @Test
    fun `a late grant is released and not dispatched a second time`() {
        val entry = EntryHarness()
        entry.generate("r")
        val (first, second) = entry.leases("r")
        entry.grant(first)
        val late = entry.grant(second)
        assertEquals(second.lease, late.sent<PeerMessage.LeaseRelease>().single().lease)
        assertTrue(late.sent<PeerMessage.Dispatch>().isEmpty())
    }

    @Test
    fun `a deadline before dispatch is answered with not_run and returns the leases`() {
        val entry = EntryHarness()
        entry.generate("r", timeout = 2.seconds)
        val expired = entry.advance(2.seconds)
        assertEquals(ErrorKind.DEADLINE_EXCEEDED, expired.failure().kind)
        assertEquals(RunState.NOT_RUN, expired.failure().runState)
        assertEquals(2, expired.sent<PeerMessage.LeaseRelease>().size)
    }

    private fun assertIdle(state: EntryState) {
        assertTrue(state.requests.isEmpty() && state.leases.isEmpty() && state.opened.isEmpty())
        assertTrue(state.leasesByHost.isEmpty() && state.openRequests.isEmpty())
        assertTrue(state.ended.isEmpty() && state.buffers == BufferLedger())
    }
}
