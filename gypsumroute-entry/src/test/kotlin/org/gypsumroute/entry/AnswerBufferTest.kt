/*
 * Guards invariant 5: the caller gets the whole answer to its own request, in order and once.
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
    private val reported = mutableListOf<Event>()
    private val buffer = AnswerBuffer(REQUEST) { reported += it }.also { it.switchToLease(FIRST) }

    @Test
    fun `an answer is whole although its chunks come shuffled and twice`() {
        val chunks = (0 until 500).map { chunk(FIRST, it, "<$it>") }
        val shuffled = (chunks + chunks).shuffled(Random(7)).toMutableList()
        buffer.accept(end(FIRST, 500))
        shuffled.forEach { buffer.accept(it) }
        assertEquals((0 until 500).joinToString("") { "<$it>" }, takeAll())
        assertEquals(1, reported.count { it is AnswerEvent.Completed })
        assertEquals(1, reported.count { it is AnswerEvent.FirstToken })
        assertEquals(Tokens(500), reported.filterIsInstance<AnswerEvent.Completed>()[0].tokens)
    }

    @Test
    fun `an end mark before the last chunk does not end the answer`() {
        buffer.accept(chunk(FIRST, 0, "a"))
        buffer.accept(end(FIRST, 2))
        assertIs<AnswerPortion.Text>(buffer.tryTake())
        assertNull(buffer.tryTake())
        buffer.accept(chunk(FIRST, 1, "b"))
        assertIs<AnswerPortion.Text>(buffer.tryTake())
        assertIs<AnswerPortion.End>(buffer.tryTake())
    }

    @Test
    fun `a second lease continues the text and late chunks of the first are dropped`() {
        buffer.accept(chunk(FIRST, 0, "one "))
        buffer.accept(chunk(FIRST, 2, "lost "))
        buffer.switchToLease(SECOND)
        assertContentEquals("one ".encodeToByteArray(), buffer.textBefore(SECOND))
        buffer.accept(chunk(FIRST, 1, "late "))
        buffer.accept(end(FIRST, 2))
        buffer.accept(chunk(SECOND, 0, "two"))
        buffer.accept(end(SECOND, 1))
        assertEquals("one two", takeAll())
    }

    @Test
    fun `a continued answer ends at the limit although the second endpoint generates more`() {
        buffer.limitOutput(Tokens(10))
        repeat(8) { buffer.accept(chunk(FIRST, it, "$it ")) }
        buffer.switchToLease(SECOND)
        buffer.limitOutput(Tokens(10))
        repeat(8) { buffer.accept(chunk(SECOND, it, "${it + 8} ")) }
        assertEquals((0 until 10).joinToString("") { "$it " }, takeAll())
        assertEquals("length", assertIs<AnswerPortion.End>(buffer.tryTake()).frame.finishReason)
        val completed = reported.filterIsInstance<AnswerEvent.Completed>().single()
        assertEquals(SECOND to Tokens(2), completed.lease to completed.tokens)
    }

    @Test
    fun `an answer whose end mark alone was lost ends when it moves`() {
        repeat(10) { buffer.accept(chunk(FIRST, it, "$it ")) }
        buffer.switchToLease(SECOND)
        buffer.limitOutput(Tokens(10))
        takeAll()
        assertIs<AnswerPortion.End>(buffer.tryTake())
    }

    @Test
    fun `acknowledgements and progress come at each thirty-second chunk`() {
        val marks = (0 until 100).mapNotNull { buffer.accept(chunk(FIRST, it, "x")) }
        assertEquals(listOf(32, 64, 96), marks)
        assertEquals(3, reported.count { it is AnswerEvent.Progress })
        assertEquals(96, buffer.nextSequence(FIRST)?.let { it - it % 32 })
    }

    @Test
    fun `held bytes are reported when a slow caller falls behind and when it catches up`() {
        buffer.accept(chunk(FIRST, 0, "x".repeat(70_000)))
        val behind = reported.filterIsInstance<AnswerEvent.Progress>().last()
        assertEquals(Bytes(70_000), behind.heldBytes)
        takeAll()
        val caughtUp = reported.filterIsInstance<AnswerEvent.Progress>().last()
        assertEquals(Bytes.ZERO, caughtUp.heldBytes)
    }

    @Test
    fun `portions never cut a character`() {
        val text = "x" + "é".repeat(100_000)
        buffer.accept(chunk(FIRST, 0, text))
        buffer.accept(end(FIRST, 1))
        assertEquals(text, takeAll())
    }

    @Test
    fun `a waiting writer gets the failure and no held text after it`() = runTest {
        val taken = async { buffer.take() }
        runCurrent()
        buffer.fail(Failure(ErrorKind.READER_TOO_SLOW, "test"))
        assertIs<AnswerPortion.Failed>(taken.await())
        buffer.accept(chunk(FIRST, 0, "x"))
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
        val FIRST = LeaseId("first")
        val SECOND = LeaseId("second")

        fun chunk(lease: LeaseId, sequence: Int, text: String) =
            DataFrame.AnswerChunk(lease, sequence, Tokens(1), text.encodeToByteArray())

        fun end(lease: LeaseId, chunks: Int) =
            DataFrame.AnswerEnd(lease, chunks, "length", 200, "application/json")
    }
}
