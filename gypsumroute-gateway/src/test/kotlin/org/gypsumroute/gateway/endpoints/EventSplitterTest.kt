package org.gypsumroute.gateway.endpoints

import io.netty.buffer.Unpooled
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.measureTime
import net.jqwik.api.ForAll
import net.jqwik.api.Property

class EventSplitterTest {
    private fun EventSplitter.addBytes(text: String) {
        add(Unpooled.copiedBuffer(text, Charsets.UTF_8))
        scan()
    }

    private fun EventSplitter.addText(text: String): String {
        addBytes(text)
        return takeBlocks()?.toString(Charsets.UTF_8).orEmpty()
    }

    @Test
    fun `an event is returned once its terminating blank line has arrived`() {
        val splitter = EventSplitter()
        assertEquals("", splitter.addText("id: 7\ndata: a\n"))
        assertTrue(splitter.hasPartialEvent)
        assertEquals("id: 7\ndata: a\n\n", splitter.addText("\nid: 8"))
        assertEquals("7", splitter.lastEventId)
    }

    @Test
    fun `lines may end with a carriage return and a line feed`() {
        val splitter = EventSplitter()
        assertEquals("id: 1\r\ndata: a\r\n\r\n", splitter.addText("id: 1\r\ndata: a\r\n\r\n"))
        assertEquals("1", splitter.lastEventId)
    }

    /** Guards against blocks that are counted as events although no application sees them. */
    @Test
    fun `a block without data is returned and is no event`() {
        for (text in listOf("\n\n", "\r\n", ": a\n\n", "event: a\nid: 3\n\n", "database: a\n\n")) {
            val splitter = EventSplitter()
            splitter.addBytes(text)
            assertFalse(splitter.hasEvent, text)
            assertFalse(splitter.hasPartialEvent, text)
            assertEquals(text.length.toLong(), splitter.bytesWithoutEvent)
            assertEquals(text + "data\n\n", splitter.addText("data\n\n: b"))
            assertEquals(": b".length.toLong(), splitter.bytesWithoutEvent)
            assertTrue(splitter.hasPartialEvent, text)
        }
    }

    /** Guards against a search that begins at the start of a line with each part of it. */
    @Test
    fun `a long line takes no longer than as many bytes in short ones`() {
        val long = shortestTimeOf("x".repeat(PART_BYTES))
        val short = shortestTimeOf("x".repeat(PART_BYTES - 1) + "\n")
        assertTrue(long < short * MAX_COST_RATIO, "$long in place of $short")
    }

    /** The shortest of several times in which a splitter takes many parts with this [text]. */
    private fun shortestTimeOf(text: String): Duration {
        val part = Unpooled.copiedBuffer(text, Charsets.UTF_8)
        return (1..RUNS).minOf {
            val splitter = EventSplitter()
            measureTime {
                repeat(PARTS) {
                    splitter.add(part.duplicate())
                    splitter.scan()
                }
            }
        }
    }

    /** Guards against events that are lost or duplicated when a read ends inside an event. */
    @Property(tries = 300)
    fun `a stream yields the same events however it is split into reads`(@ForAll seed: Long) {
        val random = Random(seed)
        val stream = (1..10).joinToString("") {
            "id: $it\ndata: ${"x".repeat(random.nextInt(9))}\n\n"
        }
        val splitter = EventSplitter()
        var remaining = stream
        val received = StringBuilder()
        while (remaining.isNotEmpty()) {
            val part = remaining.take(1 + random.nextInt(30))
            remaining = remaining.drop(part.length)
            val complete = splitter.addText(part)
            assertTrue(complete.isEmpty() || complete.endsWith("\n\n"))
            received.append(complete)
        }
        assertEquals(stream, received.toString())
        assertEquals("10", splitter.lastEventId)
    }

    private companion object {
        const val PARTS = 10_000
        const val PART_BYTES = 100
        const val RUNS = 5

        /** Cost of a byte of any input, as a multiple of the plainest. */
        const val MAX_COST_RATIO = 10
    }
}
