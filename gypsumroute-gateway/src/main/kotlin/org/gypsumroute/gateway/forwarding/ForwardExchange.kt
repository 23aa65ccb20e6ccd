package org.gypsumroute.gateway.forwarding

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpVersion
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.RequestHead
import org.gypsumroute.api.RequestId
import org.gypsumroute.gateway.callers.CallerConnection
import org.gypsumroute.gateway.callers.ReceivedRequest
import org.gypsumroute.gateway.callers.RequestLine
import org.gypsumroute.gateway.endpoints.EndpointAttempt

/**
 * A caller's request from its arrival to the end of its response. The body is kept for the whole
 * time because a later attempt may send it again. [sendsContentLength] is true unless the body is
 * empty and the method is one such as GET, which usually has none.
 */
internal class ForwardExchange(
    val request: RequestId,
    val caller: CallerConnection,
    val line: RequestLine,
    val version: HttpVersion,
    val head: RequestHead,
    private val received: ReceivedRequest,
    val sendsContentLength: Boolean
) {
    val headers: HeaderBlock get() = received.headers
    val body: ByteBuf get() = received.body

    /** The open attempts; more than one only while an earlier one is stalled. */
    val attempts = ArrayList<EndpointAttempt>(1)

    /**
     * Addresses that the request was sent to. Another attempt there uses a new connection: on the
     * earlier one, the id of the request does not tell the answers to the two attempts apart.
     */
    val usedAddresses = HashSet<EndpointAddress>(1)

    /** The last failure response of an endpoint, which may be relayed to the caller. */
    var failureResponse: BufferedResponse? = null

    /** Whether the response to the caller has started. */
    var responseStarted = false

    /** Id of the last event that was forwarded to the caller, or null. */
    var lastEventId: String? = null

    /** Releases the bodies. */
    fun release() {
        received.release()
        failureResponse?.body?.release()
        failureResponse = null
    }
}

/** A complete response of an endpoint that was not sent to the caller. */
internal class BufferedResponse(val status: Int, val headers: HttpHeaders, val body: ByteBuf)
