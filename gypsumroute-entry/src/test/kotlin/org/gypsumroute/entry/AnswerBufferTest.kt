/*
 * Guards against answers with missing, repeated, reordered or foreign text (invariant 5): frames
 * arrive late, twice, out of order, and from leases that another lease has replaced.
 */
package org.gypsumroute.entry

import kotlin.random.Random
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlinx.coroutines.async
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.gypsumroute.api.AnswerEvent
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Event
import org.gypsumroute.api.Failure
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Tokens
import org.gypsumroute.wire.DataFrame
import org.junit.jupiter.api.Test

class AnswerBufferTest {
    private val events = mutableListOf<Event>()
    private val buffer = AnswerBuffer(REQUEST) {
        events += it
    }.also { it.switchToLease(FIRST_LEASE) }

    @Test
    fun `an answer is complete and in order if its chunks arrive shuffled and twice`() {
        val chunks = (0 until 500).map { chunk(FIRST_LEASE, it, "<$it>") }
        val shuffled = (chunks + chunks).shuffled(Random(7)).toMutableList()
        buffer.accept(end(FIRST_LEASE, 500))
        shuffled.forEach { buffer.accept(it) }
        assertEquals((0 until 500).joinToString("") { "<$it>" }, takeAll())
        assertEquals(1, events.count { it is AnswerEvent.Completed })
        assertEquals(1, events.count { it is AnswerEvent.FirstToken })
        assertEquals(Tokens(500), events.filterIsInstance<AnswerEvent.Completed>()[0].tokens)
    }

    @Test
    fun `an end frame that arrives before the last chunk does not end the answer`() {
        buffer.accept(chunk(FIRST_LEASE, 0, "a"))
        buffer.accept(end(FIRST_LEASE, 2))
        assertIs<AnswerPortion.Text>(buffer.tryTake())
        assertNull(buffer.tryTake())
        buffer.accept(chunk(FIRST_LEASE, 1, "b"))
        assertIs<AnswerPortion.Text>(buffer.tryTake())
        assertIs<AnswerPortion.End>(buffer.tryTake())
    }

    @Test
    fun `a second lease continues the text, and late chunks of the first lease are dropped`() {
        buffer.accept(chunk(FIRST_LEASE, 0, "one "))
        buffer.accept(chunk(FIRST_LEASE, 2, "lost "))
        buffer.switchToLease(SECOND_LEASE)
        assertContentEquals("one ".encodeToByteArray(), buffer.textBefore(SECOND_LEASE))
        buffer.accept(chunk(FIRST_LEASE, 1, "late "))
        buffer.accept(end(FIRST_LEASE, 2))
        buffer.accept(chunk(SECOND_LEASE, 0, "two"))
        buffer.accept(end(SECOND_LEASE, 1))
        assertEquals("one two", takeAll())
    }

    @Test
    fun `a continued answer ends at the token limit if the second endpoint generates more`() {
        buffer.limitOutput(Tokens(10))
        repeat(8) { buffer.accept(chunk(FIRST_LEASE, it, "$it ")) }
        buffer.switchToLease(SECOND_LEASE)
        buffer.limitOutput(Tokens(10))
        repeat(8) { buffer.accept(chunk(SECOND_LEASE, it, "${it + 8} ")) }
        assertEquals((0 until 10).joinToString("") { "$it " }, takeAll())
        assertEquals("length", assertIs<AnswerPortion.End>(buffer.tryTake()).frame.finishReason)
        val completed = events.filterIsInstance<AnswerEvent.Completed>().single()
        assertEquals(SECOND_LEASE to Tokens(2), completed.lease to completed.tokens)
    }

    @Test
    fun `an answer of which only the end frame was lost ends on the switch to a second lease`() {
        repeat(10) { buffer.accept(chunk(FIRST_LEASE, it, "$it ")) }
        buffer.switchToLease(SECOND_LEASE)
        buffer.limitOutput(Tokens(10))
        takeAll()
        assertIs<AnswerPortion.End>(buffer.tryTake())
    }

    @Test
    fun `every 32nd chunk causes an acknowledgement and a progress event`() {
        val acknowledged = (0 until 100).mapNotNull { buffer.accept(chunk(FIRST_LEASE, it, "x")) }
        assertEquals(listOf(32, 64, 96), acknowledged)
        assertEquals(3, events.count { it is AnswerEvent.Progress })
        assertEquals(96, buffer.nextSequence(FIRST_LEASE)?.let { it - it % 32 })
    }

    @Test
    fun `held bytes are reported when a slow caller falls behind and when it has caught up`() {
        buffer.accept(chunk(FIRST_LEASE, 0, "x".repeat(70_000)))
        val behind = events.filterIsInstance<AnswerEvent.Progress>().last()
        assertEquals(Bytes(70_000), behind.heldBytes)
        takeAll()
        val caughtUp = events.filterIsInstance<AnswerEvent.Progress>().last()
        assertEquals(Bytes.ZERO, caughtUp.heldBytes)
    }

    @Test
    fun `portions never end within a UTF-8 sequence`() {
        val text = "x" + "é".repeat(100_000)
        buffer.accept(chunk(FIRST_LEASE, 0, text))
        buffer.accept(end(FIRST_LEASE, 1))
        assertEquals(text, takeAll())
    }

    @Test
    fun `a waiting writer gets the failure, and no text after it`() = runTest {
        val taken = async { buffer.take() }
        runCurrent()
        buffer.fail(Failure(ErrorKind.READER_TOO_SLOW, "test"))
        assertIs<AnswerPortion.Failed>(taken.await())
        buffer.accept(chunk(FIRST_LEASE, 0, "x"))
        assertIs<AnswerPortion.Failed>(buffer.tryTake())
        assertEquals(Bytes.ZERO, buffer.heldBytes())
    }

    private fun takeAll(): String {
        val text = StringBuilder()
        while (true) {
            val portion = buffer.tryTake() as? AnswerPortion.Text ?: return text.toString()
            text.append(portion.bytes.decodeToString(throwOnInvalidSequence = true))
        }
    }

    private companion object {
        val REQUEST = RequestId("request")
        val FIRST_LEASE = LeaseId("first")
        val SECOND_LEASE = LeaseId("second")

        fun chunk(lease: LeaseId, sequence: Int, text: String) =
            DataFrame.AnswerChunk(lease, sequence, Tokens(1), text.encodeToByteArray())

        fun end(lease: LeaseId, chunks: Int) =
            DataFrame.AnswerEnd(lease, chunks, "length", 200, "application/json")
    }
}
