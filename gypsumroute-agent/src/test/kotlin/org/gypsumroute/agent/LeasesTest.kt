/*
 * Guards against answers that lose or repeat chunks, or go to the old connection, after an entry
 * reconnected, and against work that starts before its whole body has arrived.
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
    private val events = mutableListOf<Event>()
    private val firstConnection = FakeConnection(1)
    private val secondConnection = FakeConnection(2)

    @Test
    fun `a body is reported once if its parts arrive early, out of order and twice`() = runTest {
        val leases = leases()
        val parts = (0 until 5).map { bodyPart(it, last = it == 4) }
        for (frame in parts.reversed() + parts) leases.receive(firstConnection, frame)
        assertEquals(emptyList(), events)
        leases.expectBody(LEASE)
        leases.expectBody(LEASE)
        assertEquals(listOf<Event>(EngineEvent.BodyReceived(LEASE)), events)
        val body = assertNotNull(leases.find(LEASE)).body.parts()
        assertEquals("01234", body.joinToString("") { it.decodeToString() })
    }

    @Test
    fun `body parts of a lease are dropped if no dispatch follows in time`() = runTest {
        val leases = leases()
        leases.receive(firstConnection, bodyPart(0, last = true))
        advanceTimeBy(9.seconds)
        assertEquals(1, leases.size)
        advanceTimeBy(2.seconds)
        assertEquals(0, leases.size)
    }

    @Test
    fun `an answer is resumed on a new connection at the requested sequence number`() = runTest {
        val leases = leases()
        leases.receive(firstConnection, bodyPart(0, last = true))
        val answer = leases.expectBody(LEASE).answer
        leases.startSending(LEASE)
        repeat(3) { answer.add("$it".encodeToByteArray(), Tokens(1)) }
        runCurrent()
        firstConnection.isOpen = false
        repeat(3) { answer.add("${it + 3}".encodeToByteArray(), Tokens(1)) }
        answer.finish("length", 200, "text/plain")
        runCurrent()
        assertEquals(listOf(0, 1, 2), firstConnection.sentSequences())
        leases.receive(secondConnection, DataFrame.AnswerResume(LEASE, 2))
        runCurrent()
        assertEquals(listOf(2, 3, 4, 5), secondConnection.sentSequences())
        assertEquals(6, (secondConnection.sent.last() as DataFrame.AnswerEnd).chunks)
    }

    @Test
    fun `acknowledged chunks are dropped and the rest can still be resumed`() = runTest {
        val leases = leases()
        val answer = leases.expectBody(LEASE).answer
        repeat(64) { answer.add(ByteArray(1), Tokens(1)) }
        leases.receive(firstConnection, DataFrame.AnswerAcknowledge(LEASE, 32))
        leases.receive(firstConnection, DataFrame.AnswerResume(LEASE, 32))
        runCurrent()
        assertEquals((32 until 64).toList(), firstConnection.sentSequences())
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
        val copy = assertNotNull(recorded.copyForLease(OTHER_LEASE))
        leases.receive(firstConnection, DataFrame.AnswerResume(OTHER_LEASE, 0))
        leases.expectBody(OTHER_LEASE).replaceAnswer(copy)
        leases.startSending(OTHER_LEASE)
        runCurrent()
        assertEquals(listOf(0), firstConnection.sentSequences())
        assertEquals(201, (firstConnection.sent.last() as DataFrame.AnswerEnd).status)
        leases.forget(OTHER_LEASE)
    }

    private fun TestScope.leases() = Leases(backgroundScope, { events += it }, 10.seconds) { null }

    private fun bodyPart(sequence: Int, last: Boolean) =
        DataFrame.PromptChunk(LEASE, sequence, "$sequence".encodeToByteArray(), last)

    private companion object {
        val LEASE = LeaseId("entry-1/incarnation/1")
        val OTHER_LEASE = LeaseId("entry-1/incarnation/2")
    }
}
