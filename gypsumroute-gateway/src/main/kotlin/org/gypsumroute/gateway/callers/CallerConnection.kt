/*
 * The connection of one caller: receives requests one at a time and writes the responses. All of it
 * runs on the traffic event loop.
 */
package org.gypsumroute.gateway.callers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.gypsumroute.api.CallerLimits
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.core.gateway.attempts.RETRY_AFTER
import org.gypsumroute.gateway.endpoints.BytesReceived
import org.gypsumroute.gateway.forwarding.ForwardExchange
import org.gypsumroute.gateway.forwarding.ForwardTraffic
import org.gypsumroute.gateway.forwarding.HeaderBlock
import org.gypsumroute.gateway.forwarding.ReadTurn
import org.gypsumroute.gateway.forwarding.forwardedHeaders

/** Serves one connection and passes each complete request to [traffic]. */
internal class CallerConnection(private val traffic: ForwardTraffic, private val turn: ReadTurn) :
    ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var receiving: ReceivedRequest? = null

    /** A complete request that is passed on unless the caller turns out to have left. */
    private var received: ReceivedRequest? = null
    private var serving: ForwardExchange? = null
    private var version: HttpVersion = HttpVersion.HTTP_1_1
    private var keepAlive = true
    private var closing = false
    private var requestStarted = false

    /** Whether a response is complete but not written to the socket yet. */
    private var finishing = false

    private val pipelined = PipelinedInput(traffic.memory.bodies)

    /**
     * Whether the connection closes after the current response. A planned stop closes it only after
     * the pipelined requests that have been read completely, which have their own responses.
     */
    private val closesAfterResponse: Boolean
        get() = !keepAlive || closing ||
            (traffic.draining && !pipelined.hasCompleteRequest)
    private val timeout = CallerTimeout()
    private var chunked = false

    /** Number of bytes written to the channel that the socket has not accepted yet. */
    val unsentBytes: Long get() = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    /** Whether a request is complete and its response is not written to the socket yet. */
    private val isBusy: Boolean get() = received != null || serving != null || finishing

    /** Memory that the head takes of which only a part has arrived. */
    private var partOfHeadBytes = 0

    /** When the last response was complete, or else the connection was opened. */
    var idleSince = TimeSource.Monotonic.markNow()
        private set

    /** Whether what the caller sends is not looked at any more. */
    val discardsInput: Boolean get() = closing || pipelined.isTruncated

    /** Whether no request is being received or served. */
    val isIdle: Boolean get() = !isBusy && receiving == null && !requestStarted

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
        traffic.callerConnected(this)
        setTimeout(limits.idleTimeout) { channel.close() }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        turn.messageRead()
        if (closing || message !is HttpObject) {
            ReferenceCountUtil.release(message)
            return
        }
        if (!isBusy) {
            process(message)
        } else {
            pipelined.add(message, limits.maxBodyBytes.toLong() * PIPELINED_BODIES)
        }
    }

    /** Called when [bytes] bytes of memory are held for a head that is not complete. */
    fun partOfHeadHeld(bytes: Int) {
        val heads = traffic.memory.heads
        heads.remove(partOfHeadBytes)
        partOfHeadBytes = bytes
        val fits = heads.hasCapacity(bytes.toLong())
        heads.add(bytes)
        if (!fits) refuseHead(ErrorKind.OVERLOADED, "no room for more of the head")
    }

    /** Called when a head is larger than the limit before it is complete. */
    fun headTooLarge() = refuseHead(ErrorKind.HEADERS_TOO_LARGE, "headers")

    /** Refuses a request, behind the response to the one before it if that is still served. */
    private fun refuseHead(kind: ErrorKind, detail: String) =
        if (isBusy) pipelined.truncate() else refuseAndClose(kind, detail)

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event === BytesReceived && isIdle) {
            requestStarted = true
            setTimeout(limits.headerTimeout) {
                refuseAndClose(ErrorKind.REQUEST_INCOMPLETE, "headers")
            }
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timeout.cancel()
        partOfHeadHeld(0)
        receiving?.release()
        receiving = null
        withdraw()
        pipelined.clear()
        traffic.callerClosed(this)
        val exchange = serving ?: return
        serving = null
        traffic.callerDisconnected(exchange)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) serving?.attempts?.forEach { it.connection?.resumeReading() }
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        channel.close()
    }

    /** Sends a response with a complete body. */
    fun sendResponse(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) =
        finish(wholeResponse(status, headers, body))

    /**
     * Starts a response of unknown length: chunked for HTTP/1.1, else ended by closing the
     * connection.
     */
    fun startResponse(status: HttpResponseStatus, headers: HttpHeaders) {
        chunked = version == HttpVersion.HTTP_1_1
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers)
        if (chunked) HttpUtil.setTransferEncodingChunked(response, true) else keepAlive = false
        setConnectionHeader(response)
        channel.write(response)
    }

    /** Sends a part of the body of a response that has started. */
    fun sendPart(bytes: ByteBuf) {
        channel.writeAndFlush(DefaultHttpContent(bytes))
        if (unsentBytes > 0) traffic.limitUnsent()
    }

    /** Completes a response that has started. */
    fun endResponse() = finish(DefaultLastHttpContent(Unpooled.EMPTY_BUFFER))

    /**
     * Closes the connection in the middle of a response so that the caller detects the truncation.
     * A chunked response lacks its last chunk then; one that ends with the connection needs a
     * reset, which a linger time of 0 causes.
     */
    fun abortResponse() {
        serving = null
        if (chunked) channel.close() else channel.reset()
    }

    /** Resets the connection and drops what is unsent, to save memory or descriptors. */
    fun drop() = channel.reset()

    /** Sends an error response of the gateway itself. */
    fun refuse(failure: Failure) = finish(refusalResponse(failure))

    /**
     * Closes the connection unless a request is being received or served. A request that the socket
     * holds already is read and answered.
     */
    fun closeIfIdle() = traffic.afterReads { if (isIdle) channel.close() }

    /** Refuses a request that has not arrived completely, because the process ends. */
    fun refuseIncomplete() {
        val incomplete = !isBusy && (requestStarted || receiving != null)
        if (incomplete) refuseAndClose(ErrorKind.DRAINING, "the gateway stops")
    }

    private fun process(message: HttpObject) {
        val decodingError = message.decoderResult().cause()
        when {
            decodingError != null -> {
                ReferenceCountUtil.release(message)
                refuseAndClose(rejectionOf(decodingError))
            }

            message is HttpRequest -> beginRequest(message)
        }
        if (decodingError == null && message is HttpContent) addContent(message)
    }

    private fun beginRequest(message: HttpRequest) {
        version = message.protocolVersion()
        keepAlive = HttpUtil.isKeepAlive(message)
        requestStarted = true
        val rejection = rejectionOf(message, limits, traffic.memory.bodies)
        if (rejection != null) {
            refuseAndClose(rejection)
            return
        }
        if (HttpUtil.is100ContinueExpected(message)) {
            channel.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)
            )
        }
        val line = RequestLine(message.method().name(), message.uri())
        val head = traffic.codec.readHead(line) { message.headers().getAll(it) }
        val headers =
            HeaderBlock.of(forwardedHeaders(message.headers(), traffic.codec.withheldHeaders))
        if (!traffic.memory.heads.hasCapacity(headBytes(line, head, headers).toLong())) {
            refuseAndClose(ErrorKind.OVERLOADED, "no room for more heads of this size")
            return
        }
        receiving = ReceivedRequest(line, head, headers, traffic.memory)
        setTimeout((head.timeout ?: limits.idleTimeout).coerceAtMost(MAX_BODY_TIME)) {
            refuseAndClose(ErrorKind.REQUEST_INCOMPLETE, "body")
        }
    }

    private fun addContent(content: HttpContent) {
        val request = receiving
        if (closing || request == null) {
            content.release()
            return
        }
        request.add(content.content())
        content.release()
        if (request.body.readableBytes() > limits.maxBodyBytes) {
            refuseAndClose(ErrorKind.BODY_TOO_LARGE, "body over ${limits.maxBodyBytes} bytes")
        } else if (!traffic.memory.bodies.hasCapacity(0)) {
            refuseAndClose(ErrorKind.OVERLOADED, "no room for more of the body")
        } else if (content is LastHttpContent) {
            receiving = null
            timeout.cancel()
            received = request
            traffic.afterReads(::passOn)
        }
    }

    /** Passes a complete request on, unless the caller's close was read behind it. */
    private fun passOn() {
        if (!channel.isOpen) return withdraw()
        val request = received ?: return
        received = null
        serving = traffic.open(this, request, version)
    }

    /** Drops a complete request that was not passed on, because the caller has left. */
    private fun withdraw() {
        val request = received ?: return
        received = null
        request.release()
        traffic.requestWithdrawn(request.head)
    }

    private fun finish(last: HttpObject) {
        if (last is HttpResponse) setConnectionHeader(last)
        val close = closesAfterResponse
        closing = close
        setTimeout(limits.idleTimeout) { channel.close() }
        serving = null
        requestStarted = false
        finishing = true
        idleSince = TimeSource.Monotonic.markNow()
        val written = channel.writeAndFlush(last)
        if (unsentBytes > 0) traffic.limitUnsent()
        if (close) {
            written.addListener { closeAfterInput() }
        } else {
            written.addListener { processPipelined() }
        }
    }

    /** Goes on with parts of later requests, in the order in which they arrived. */
    private fun processPipelined() {
        finishing = false
        while (!isBusy && !closing) {
            process(pipelined.removeFirst() ?: return refuseTruncated())
        }
    }

    /** Refuses the request of which parts were dropped while the one before it was served. */
    private fun refuseTruncated() {
        if (!pipelined.isTruncated) return
        refuseAndClose(ErrorKind.OVERLOADED, "no room for more pipelined requests")
    }

    private fun setConnectionHeader(response: HttpResponse) {
        if (closesAfterResponse) {
            keepAlive = false
            response.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
        }
    }

    private fun refuseAndClose(rejection: RequestRejection) =
        refuseAndClose(rejection.kind, rejection.detail)

    /**
     * Sends an error response and closes the connection, although the caller may still be sending.
     */
    private fun refuseAndClose(kind: ErrorKind, detail: String) {
        if (closing) return
        closing = true
        keepAlive = false
        receiving?.release()
        receiving = null
        val failure = Failure(
            kind,
            detail,
            retryAfter = RETRY_AFTER.takeIf {
                kind == ErrorKind.OVERLOADED || kind == ErrorKind.DRAINING
            }
        )
        val response = refusalResponse(failure)
        response.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
        traffic.requestRejected(failure)
        setTimeout(limits.idleTimeout) { channel.close() }
        channel.writeAndFlush(response).addListener { closeAfterInput() }
    }

    private fun closeAfterInput() =
        channel.closeAfterInput { close -> setTimeout(LINGERING_CLOSE_TIME, close) }

    private fun setTimeout(after: Duration, action: () -> Unit) =
        timeout.set(channel, after, action)

    private val limits: CallerLimits get() = traffic.limits

    private companion object {
        /** How many of the largest bodies may wait for the request before them. */
        const val PIPELINED_BODIES = 2
        val LINGERING_CLOSE_TIME = 1.seconds

        /** A body that takes longer is refused, whatever time its caller states. */
        val MAX_BODY_TIME = 60.seconds
    }
}
