/*
 * Collects the requests of one caller, one at a time, within the memory budgets. All of it runs on
 * the traffic event loop.
 */
package org.gypsumroute.gateway.callers

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.gateway.forwarding.ForwardTraffic
import org.gypsumroute.gateway.forwarding.HeaderBlock
import org.gypsumroute.gateway.forwarding.forwardedHeaders

/** Holds the head that has arrived in part, and then the request whose body is arriving. */
internal class RequestReceiver(private val traffic: ForwardTraffic) {
    /** Memory that the head takes of which only a part has arrived. */
    private var partOfHeadBytes = 0

    /** The request whose body is arriving, or null. */
    var receiving: ReceivedRequest? = null
        private set

    /** Counts [bytes] for a head that is not complete; returns why it has to be refused, if so. */
    fun holdPartOfHead(bytes: Int): RequestRejection? {
        val heads = traffic.memory.heads
        heads.remove(partOfHeadBytes)
        partOfHeadBytes = bytes
        val fits = heads.hasCapacity(bytes.toLong())
        heads.add(bytes)
        return if (fits) null else overloaded("no room for more of the head")
    }

    /** Begins the request that [message] is the head of; returns why it is refused, if so. */
    fun begin(message: HttpRequest): RequestRejection? {
        val line = RequestLine(message.method().name(), message.uri())
        val head = traffic.codec.readHead(line) { message.headers().getAll(it) }
        val headers =
            HeaderBlock.of(forwardedHeaders(message.headers(), traffic.codec.withheldHeaders))
        if (!traffic.memory.heads.hasCapacity(headBytes(line, head, headers).toLong())) {
            return overloaded("no room for more heads of this size")
        }
        receiving = ReceivedRequest(line, head, headers, traffic.memory)
        return null
    }

    /** Adds a part of the body to [request]; returns why the request is refused, if so. */
    fun addBody(request: ReceivedRequest, part: ByteBuf): RequestRejection? {
        request.add(part)
        val maxBytes = traffic.limits.maxBodyBytes
        return when {
            request.body.readableBytes() > maxBytes ->
                RequestRejection(ErrorKind.BODY_TOO_LARGE, "body over $maxBytes bytes")

            !traffic.memory.bodies.hasCapacity(0) -> overloaded("no room for more of the body")

            else -> null
        }
    }

    /** Hands the request over to the caller of this function, who releases it. */
    fun takeRequest(): ReceivedRequest? = receiving.also { receiving = null }

    /** Drops the request that is being received. */
    fun discard() {
        takeRequest()?.release()
    }

    private fun overloaded(detail: String) = RequestRejection(ErrorKind.OVERLOADED, detail)
}
