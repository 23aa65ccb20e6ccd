package org.gypsumroute.gateway.endpoints

import io.netty.buffer.Unpooled
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import net.jqwik.api.ForAll
import net.jqwik.api.Property

class EventSplitterTest {
    private fun EventSplitter.addText(text: String): String =
        add(Unpooled.copiedBuffer(text, Charsets.UTF_8))?.toString(Charsets.UTF_8).orEmpty()

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
}
