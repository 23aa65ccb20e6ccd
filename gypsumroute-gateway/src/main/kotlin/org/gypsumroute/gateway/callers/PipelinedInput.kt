package org.gypsumroute.gateway.callers

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/**
 * Parts of pipelined requests, which wait until the request before them has its response. They
 * count against [bodyMemory]. The connection is read on meanwhile, so that a close is noticed; what
 * does not fit is dropped with all that follows.
 */
internal class PipelinedInput(private val bodyMemory: RequestMemoryBudget) {
    private val parts = ArrayDeque<HttpObject>()
    private var heldBytes = 0

    /** Whether parts were dropped, so that nothing behind the ones that are held can be served. */
    var isTruncated = false
        private set

    /** Whether all parts of a request are held. */
    val hasCompleteRequest: Boolean get() = parts.any { it is LastHttpContent }

    /** Adds a part, unless more than [maxBytes] would be held then. */
    fun add(part: HttpObject, maxBytes: Long) {
        val bytes = bytesOf(part)
        isTruncated = isTruncated || heldBytes + bytes > maxBytes ||
            !bodyMemory.hasCapacity(bytes.toLong())
        if (isTruncated) {
            ReferenceCountUtil.release(part)
            return
        }
        parts.addLast(part)
        heldBytes += bytes
        bodyMemory.add(bytes)
    }

    /** Drops all that follows the parts that are held. */
    fun truncate() {
        isTruncated = true
    }

    /** Removes the part that came first; null if none is held. */
    fun removeFirst(): HttpObject? {
        val part = parts.removeFirstOrNull() ?: return null
        heldBytes -= bytesOf(part)
        bodyMemory.remove(bytesOf(part))
        return part
    }

    fun clear() {
        while (true) ReferenceCountUtil.release(removeFirst() ?: return)
    }

    private fun bytesOf(part: HttpObject): Int = PART_OVERHEAD_BYTES +
        ((part as? HttpContent)?.content()?.readableBytes() ?: 0) +
        ((part as? HttpRequest)?.let { it.uri().length + bytesOf(it.headers()) } ?: 0)

    private fun bytesOf(headers: HttpHeaders): Int = headers.iteratorAsString().asSequence()
        .sumOf { FIELD_OVERHEAD_BYTES + it.key.length + it.value.length }

    private companion object {
        /** About the memory of the objects that make up a part. */
        const val PART_OVERHEAD_BYTES = 128

        /** The same for a header field. */
        const val FIELD_OVERHEAD_BYTES = 128
    }
}
