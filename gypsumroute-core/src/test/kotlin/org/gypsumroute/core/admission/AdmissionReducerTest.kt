package org.gypsumroute.core.admission

import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.core.EntryHarness
import org.gypsumroute.core.agent
import org.gypsumroute.core.failure
import org.gypsumroute.core.failures
import org.gypsumroute.core.leases.BufferLedger
import org.gypsumroute.core.map
import org.gypsumroute.core.testDocument
import org.junit.jupiter.api.Test

/** Guards against admitting requests that violate their service document or the entry's limits. */
class AdmissionReducerTest {
    @Test
    fun `an entry that is not ready or is draining refuses requests before reading the body`() {
        assertEquals(ErrorKind.NOT_READY, EntryHarness(emptyList()).open("r").failure().kind)
        val entry = EntryHarness()
        entry.generate("earlier")
        entry.feed(RuntimeEvent.DrainRequested)
        val failure = entry.open("r").failure()
        assertEquals(ErrorKind.DRAINING, failure.kind)
        assertNotNull(failure.retryAfter)
    }

    @Test
    fun `a draining entry exits with code 0 only after the last answer was taken`() {
        val entry = EntryHarness()
        entry.generate("r")
        val exit = RuntimeEffect.Exit(0)
        assertTrue(exit !in entry.feed(RuntimeEvent.DrainRequested))
        assertTrue(exit !in entry.complete(entry.grantFirstLease("r")))
        assertTrue(exit in entry.feed(CallerEvent.AnswerTaken(RequestId("r"))))
    }

    @Test
    fun `a duplicate request id is refused and the earlier request is unaffected`() {
        val entry = EntryHarness()
        entry.generate("r")
        val before = entry.state
        assertEquals(ErrorKind.REQUEST_DUPLICATE, entry.open("r").failure().kind)
        assertEquals(before.copy(common = entry.state.common), entry.state)
    }

    @Test
    fun `unknown keys and bodies above the buffer limits are refused without reserving memory`() {
        val entry = EntryHarness()
        assertEquals(ErrorKind.CREDENTIALS_INVALID, entry.open("k", key = "no").failure().kind)
        val budget = 8L * 1024 * 1024
        assertTrue(CallerEffect.AcceptBody(RequestId("r")) in entry.open("r", budget - 10))
        assertEquals(ErrorKind.ANSWER_BUFFER_FULL, entry.open("s", 11).failure().kind)
        entry.state = entry.state.copy(maxBufferedBytes = Bytes(budget))
        val other = entry.open("t", 11, key = "digest-2")
        assertEquals(ErrorKind.ANSWER_BUFFER_FULL, other.failure().kind)
        entry.feed(CallerEvent.Left(RequestId("r")))
        assertEquals(BufferLedger(), entry.state.buffers)
    }

    @Test
    fun `limits of the service document are checked before any lease is requested`() {
        val entry =
            EntryHarness(
                listOf(
                    testDocument {
                        it.copy(deadline = it.deadline.copy(default = null))
                    }
                )
            )
        val kinds = listOf(
            entry.generate("a", prompt = 1_000_001),
            entry.generate("b", output = 4_097),
            entry.generate("c", output = 0),
            entry.generate("d", timeout = null),
            entry.generate("e", timeout = 1.hours)
        ).map { it.failure().kind to it.failure().runState }
        val expected = listOf(
            ErrorKind.PROMPT_TOO_LONG,
            ErrorKind.OUTPUT_LIMIT_INVALID,
            ErrorKind.OUTPUT_LIMIT_INVALID,
            ErrorKind.DEADLINE_MISSING,
            ErrorKind.DEADLINE_INVALID
        )
        assertEquals(expected.map { it to RunState.NOT_RUN }, kinds)
        assertEquals(ErrorKind.SERVICE_UNKNOWN, entry.call("f", "/menu").failure().kind)
        assertTrue(entry.state.leases.isEmpty())
    }

    @Test
    fun `an organisation may have twice its even share of open requests at each entry`() {
        val entries = (1..4).map { agent("e$it").copy(role = NodeRole.ENTRY, pool = null) }
        val document = testDocument { base ->
            base.copy(organisations = base.organisations.map { it.copy(openRequests = 5) })
        }
        val entry = EntryHarness(listOf(document), entries + agent("a1"))
        repeat(3) { assertTrue(entry.generate("r$it").failures().isEmpty()) }
        assertEquals(ErrorKind.ORGANISATION_LIMIT, entry.generate("s").failure().kind)
        assertTrue(entry.generate("t", key = "digest-2").failures().isEmpty())
        entry.feed(CallerEvent.Left(RequestId("r0")))
        assertTrue(entry.generate("u").failures().isEmpty())
    }
}
