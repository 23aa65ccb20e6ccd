package org.gypsumroute.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpVersion
import org.gypsumroute.api.RequestHead
import org.gypsumroute.api.RequestId

/**
 * A caller's request while it is served. Its body stays until the end, since a later attempt sends
 * it again. [sendsContentLength] tells whether a length goes with it.
 */
internal class ForwardExchange(
    val request: RequestId,
    val caller: CallerConnection,
    val line: RequestLine,
    val version: HttpVersion,
    val head: RequestHead,
    val headers: HttpHeaders,
    private val received: ReceivedRequest,
    val sendsContentLength: Boolean
) {
    val body: ByteBuf get() = received.body

    /** The attempt under way. */
    var attempt: EndpointAttempt? = null

    /** A failure answer of an endpoint that may be passed on. */
    var failureResponse: BufferedResponse? = null

    /** Whether the answer to the caller has begun. */
    var responseStarted = false

    /** The last event of a stream that was passed on. */
    var lastEventId: String? = null

    /** Frees the bodies. */
    fun release() {
        received.release()
        failureResponse?.body?.release()
        failureResponse = null
    }
}

/** An answer that is complete and not passed on yet. */
internal class BufferedResponse(val status: Int, val headers: HttpHeaders, val body: ByteBuf)
