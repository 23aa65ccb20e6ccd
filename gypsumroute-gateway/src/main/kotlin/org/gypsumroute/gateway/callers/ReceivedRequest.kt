package org.gypsumroute.gateway.callers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders
import org.gypsumroute.api.RequestHead

/**
 * A request whose body may still be incomplete. Its body counts against [bodyMemory] until it is
 * released.
 */
internal class ReceivedRequest(
    val line: RequestLine,
    val head: RequestHead,
    val headers: HttpHeaders,
    private val bodyMemory: BodyMemoryBudget
) {
    val body: ByteBuf = Unpooled.buffer(0)

    /** Appends a part of the body. */
    fun add(part: ByteBuf) {
        bodyMemory.add(part.readableBytes())
        body.writeBytes(part)
    }

    /** Releases the body and its share of the memory budget. */
    fun release() {
        bodyMemory.remove(body.readableBytes())
        body.release()
    }
}
