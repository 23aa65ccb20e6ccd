package org.gypsumroute.gateway.callers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.gypsumroute.api.RequestHead
import org.gypsumroute.gateway.forwarding.HeaderBlock

/**
 * A request whose body may still be incomplete. [headers] are the fields that are forwarded. Head
 * and body count against the budgets of [memory] until the request is released.
 */
internal class ReceivedRequest(
    val line: RequestLine,
    val head: RequestHead,
    val headers: HeaderBlock,
    private val memory: RequestMemory
) {
    private val headBytes = headBytes(line, head, headers)
    val body: ByteBuf = Unpooled.buffer(0)

    init {
        memory.heads.add(headBytes)
    }

    /** Appends a part of the body. */
    fun add(part: ByteBuf) {
        memory.bodies.add(part.readableBytes())
        body.writeBytes(part)
    }

    /** Releases the body and the request's share of the memory budgets. */
    fun release() {
        memory.heads.remove(headBytes)
        memory.bodies.remove(body.readableBytes())
        body.release()
    }
}

/** About the memory that the head of a request takes until its response is complete. */
internal fun headBytes(line: RequestLine, head: RequestHead, headers: HeaderBlock): Int =
    REQUEST_OVERHEAD_BYTES + headers.sizeBytes + line.target.length + head.path.length +
        head.hostName.length + head.callerRequestId.length +
        head.promptParts.size * PROMPT_PART_BYTES

/** The objects that make up a request, without what grows with its size. */
private const val REQUEST_OVERHEAD_BYTES = 512
private const val PROMPT_PART_BYTES = 24
