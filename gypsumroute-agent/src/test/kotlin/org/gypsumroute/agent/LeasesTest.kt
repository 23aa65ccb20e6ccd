/*
 * Guards against answers that are cut, doubled or sent to a dead connection after a reconnect, and
 * against bodies that start work before they are whole.
 */
package org.gypsumroute.agent

import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.Event
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Tokens
import org.gypsumroute.wire.DataFrame
import org.junit.jupiter.api.Test

class LeasesTest {
    private val reported = mutableListOf<Event>()
    private val first = FakeConnection(1)
    private val second = FakeConnection(2)

    @Test
    fun `a body is reported once although its parts come early, shuffled and twice`() = runTest {
        val leases = leases()
        val parts = (0 until 5).map { part(it, last = it == 4) }
        for (frame in parts.reversed() + parts) leases.receive(first, frame)
        assertEquals(emptyList(), reported)
        leases.expectBody(LEASE)
        leases.expectBody(LEASE)
        assertEquals(listOf<Event>(EngineEvent.BodyReceived(LEASE)), reported)
        val body = assertNotNull(leases.find(LEASE)).body.parts()
        assertEquals("01234", body.joinToString("") { it.decodeToString() })
    }

    @Test
    fun `parts of a lease that no dispatch follows are dropped`() = runTest {
        val leases = leases()
        leases.receive(first, part(0, last = true))
        advanceTimeBy(9.seconds)
        assertEquals(1, leases.size)
        advanceTimeBy(2.seconds)
        assertEquals(0, leases.size)
    }

    @Test
    fun `an answer resumes on a fresh connection from the number wanted`() = runTest {
        val leases = leases()
        leases.receive(first, part(0, last = true))
        val answer = leases.expectBody(LEASE).answer
        leases.startSending(LEASE)
        repeat(3) { answer.add("$it".encodeToByteArray(), Tokens(1)) }
        runCurrent()
        first.isOpen = false
        repeat(3) { answer.add("${it + 3}".encodeToByteArray(), Tokens(1)) }
        answer.finish("length", 200, "text/plain")
        runCurrent()
        assertEquals(listOf(0, 1, 2), first.sequences())
        leases.receive(second, DataFrame.AnswerResume(LEASE, 2))
        runCurrent()
        assertEquals(listOf(2, 3, 4, 5), second.sequences())
        assertEquals(6, (second.sent.last() as DataFrame.AnswerEnd).chunks)
    }

    @Test
    fun `acknowledged parts are freed and the rest can still be resumed`() = runTest {
        val leases = leases()
        val answer = leases.expectBody(LEASE).answer
        repeat(64) { answer.add(ByteArray(1), Tokens(1)) }
        leases.receive(first, DataFrame.AnswerAcknowledge(LEASE, 32))
        leases.receive(first, DataFrame.AnswerResume(LEASE, 32))
        runCurrent()
        assertEquals((32 until 64).toList(), first.sequences())
        leases.forget(LEASE)
        assertEquals(0, leases.size)
    }

    @Test
    fun `a recorded answer is sent again under another lease`() = runTest {
        val leases = leases()
        val recorded = LeaseAnswer(LEASE, retainAcknowledged = true)
        recorded.add("done".encodeToByteArray(), Tokens(1))
        recorded.finish("stop", 201, "text/plain")
        recorded.acknowledge(1)
        val copy = assertNotNull(recorded.copyForLease(OTHER))
        leases.receive(first, DataFrame.AnswerResume(OTHER, 0))
        leases.expectBody(OTHER).replaceAnswer(copy)
        leases.startSending(OTHER)
        runCurrent()
        assertEquals(listOf(0), first.sequences())
        assertEquals(201, (first.sent.last() as DataFrame.AnswerEnd).status)
        leases.forget(OTHER)
    }

    private fun TestScope.leases() =
        Leases(backgroundScope, { reported += it }, 10.seconds) { null }

    private fun part(sequence: Int, last: Boolean) =
        DataFrame.PromptChunk(LEASE, sequence, "$sequence".encodeToByteArray(), last)

    private companion object {
        val LEASE = LeaseId("entry-1/incarnation/1")
        val OTHER = LeaseId("entry-1/incarnation/2")
    }
}
