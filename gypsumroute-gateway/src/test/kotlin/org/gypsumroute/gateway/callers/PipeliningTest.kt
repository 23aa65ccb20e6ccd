package org.gypsumroute.gateway.callers

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import org.gypsumroute.api.Event
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.gateway.forwarding.ForwardTraffic
import org.gypsumroute.gateway.forwarding.HEAP_BYTES
import org.gypsumroute.gateway.forwarding.MAX_CALLERS
import org.gypsumroute.gateway.forwarding.ReadTurn
import org.gypsumroute.gateway.forwarding.first
import org.gypsumroute.gateway.forwarding.testCodec

/** A connection whose writes complete only when the test says so, as with a slow caller. */
class PipeliningTest {
    private class HeldWrites : ChannelOutboundHandlerAdapter() {
        private val held = ArrayList<ChannelPromise>()

        override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            ReferenceCountUtil.release(message)
            held += promise
        }

        fun complete() = held.toList().also { held.clear() }.forEach { it.setSuccess() }
    }

    private val channel = EmbeddedChannel()
    private val events = ArrayList<Event>()
    private val traffic =
        ForwardTraffic(channel.eventLoop(), testCodec, MAX_CALLERS, RequestMemory(HEAP_BYTES)) {
            events +=
                it
        }
    private val caller = CallerConnection(traffic, ReadTurn(readsUntilEmpty = false))
    private val writes = HeldWrites()

    init {
        channel.pipeline().addLast(writes, caller)
    }

    @AfterTest
    fun close() {
        channel.close()
    }

    private fun head() = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a/")

    private fun part(text: String) = DefaultHttpContent(Unpooled.copiedBuffer(text, Charsets.UTF_8))

    private fun lastPart(text: String) =
        DefaultLastHttpContent(Unpooled.copiedBuffer(text, Charsets.UTF_8))

    private fun receive(vararg messages: HttpObject) = channel.writeInbound(*messages)

    private fun answer() = caller.sendResponse(
        HttpResponseStatus.OK,
        EmptyHttpHeaders.INSTANCE.copy(),
        Unpooled.buffer(0)
    )

    /** Completes the writes, and lets the event loop do what follows from that. */
    private fun completeWrites() {
        writes.complete()
        channel.runPendingTasks()
    }

    private fun bodies() =
        events.filterIsInstance<ForwardEvent.Arrived>().map { it.bodyBytes.count }

    /** Guards against parts of a request that overtake its first parts, which then are lost. */
    @Test
    fun `the rest of a pipelined request waits until the response before it is written`() {
        receive(head(), lastPart("a"))
        receive(head(), part("ab"))
        answer()
        receive(lastPart("cd"))
        assertEquals(listOf(1L), bodies())
        completeWrites()
        assertEquals(listOf(1L, 4L), bodies())
    }

    @Test
    fun `pipelined requests are served one after the other in their order`() {
        receive(head(), lastPart("a"), head(), lastPart("ab"), head(), lastPart("abc"))
        assertEquals(listOf(1L), bodies())
        answer()
        completeWrites()
        assertEquals(listOf(1L, 2L), bodies())
        answer()
        assertEquals(listOf(1L, 2L), bodies())
        completeWrites()
        assertEquals(listOf(1L, 2L, 3L), bodies())
    }

    /** Guards against requests that are dropped behind a stream that was open at the stop. */
    @Test
    fun `a request behind a stream is served although a planned stop began during the stream`() {
        receive(head(), lastPart("a"))
        caller.startResponse(HttpResponseStatus.OK, EmptyHttpHeaders.INSTANCE.copy())
        traffic.drain()
        receive(head(), lastPart("ab"))
        caller.endResponse()
        completeWrites()
        assertEquals(listOf(1L, 2L), bodies())
        answer()
        completeWrites()
        assertFalse(channel.isOpen)
    }
}
