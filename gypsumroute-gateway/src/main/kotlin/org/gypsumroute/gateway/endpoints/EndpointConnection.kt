/*
 * One connection to an endpoint. It carries one request at a time and is reused only after a
 * complete response that belonged to its request, if no other response was passed over before.
 */
package org.gypsumroute.gateway.endpoints

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.TimeSource
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointStatement
import org.gypsumroute.api.UnexpectedInput
import org.gypsumroute.gateway.forwarding.ForwardCodec
import org.gypsumroute.gateway.forwarding.ReadTurn

/** Reads responses for the attempt that currently uses the connection. */
internal class EndpointConnection(
    val address: EndpointAddress,
    private val codec: ForwardCodec,
    private val connections: EndpointConnections,
    private val turn: ReadTurn
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var attempt: EndpointAttempt? = null
    private var requestWrite: ChannelFuture? = null
    private var discarding = false

    /** Whether a request was sent on the connection before the current one. */
    private var carriedEarlierRequest = false

    /** Whether an answer was passed over, after which the endpoint may write more of them. */
    private var passedOver = false
    private var informational = false
    private var keepsOpen = false
    private var keepAliveTime: Duration = DEFAULT_KEEP_ALIVE

    /**
     * Whether the endpoint has closed its side in order. A reset, a failed write and a close by the
     * gateway end the connection without it.
     */
    private var endpointClosed = false

    /** Whether the connection may carry another request after the response to the current one. */
    private val isReusable: Boolean
        get() = keepsOpen && !passedOver && !endpointClosed && channel.isActive

    /** Whether the response is complete if the rest of the request can be written. */
    private var awaitsRequestWrite = false
    private var failure: String? = null
    private var idleSince = TimeSource.Monotonic.markNow()
    private var idleTimeout: ScheduledFuture<*>? = null

    /** Whether the next response has no body because it answers a HEAD request. */
    var nextResponseIsBodiless = false
        private set

    /** Whether a request was sent whose response is not complete. */
    val awaitsResponse: Boolean get() = attempt != null

    /** Whether the connection is open, free, and received nothing unexpected. */
    val isUsable: Boolean
        get() = channel.isActive && !endpointClosed && attempt == null && failure == null

    /** Time since the connection was opened or became idle. */
    val idleTime: Duration get() = idleSince.elapsedNow()

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    /** Sends [request] for [nextAttempt], which receives the response. */
    fun send(nextAttempt: EndpointAttempt, request: FullHttpRequest) {
        idleTimeout?.cancel(false)
        carriedEarlierRequest = requestWrite != null
        attempt = nextAttempt
        discarding = false
        nextResponseIsBodiless = request.method().name() == "HEAD"
        requestWrite = channel.writeAndFlush(request)
    }

    /** Whether reading is stopped because the caller reads too slowly. */
    val isReadingPaused: Boolean get() = !channel.config().isAutoRead

    /** Stops reading until [resumeReading] is called, because the caller reads too slowly. */
    fun pauseReading() {
        channel.config().isAutoRead = false
    }

    fun resumeReading() {
        channel.config().isAutoRead = true
    }

    /**
     * Closes the connection because of bytes that no request asked for. They could be taken for
     * the response to the next request, or for a part of it.
     */
    fun closeUnexpectedInput() {
        if (failure != null) return
        failure = "bytes without a request"
        connections.inputDropped(this, UnexpectedInput.WITHOUT_REQUEST)
        channel.close()
    }

    /** Closes the connection without notifying its attempt. */
    fun close() {
        attempt = null
        channel.close()
    }

    /**
     * Closes the connection without notifying its attempt, and drops what the kernel has not
     * delivered yet, so that no request that was given up reaches the endpoint late.
     */
    fun reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0)
        close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        turn.messageRead()
        val current = attempt
        if (current == null || message !is HttpObject) {
            ReferenceCountUtil.release(message)
            closeUnexpectedInput()
            return
        }
        if (message.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            // The decoder reports the end of a connection inside a head as a malformed message.
            val ended = message.decoderResult().cause() is PrematureChannelClosureException
            fail(current, if (ended) "connection closed" else "not an HTTP answer", ended)
            return
        }
        if (message is HttpResponse) readHead(current, message)
        if (message is HttpContent) readContent(current, message)
    }

    /** Called when the endpoint has closed its side, before what it completes is decoded. */
    fun closedByEndpoint() {
        endpointClosed = true
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event !== ChannelInputShutdownEvent.INSTANCE) return
        val current = attempt
        when {
            current == null -> channel.close()
            !awaitsRequestWrite -> fail(current, "connection closed", connectionLost = true)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        attempt?.responseReader?.forward()
        if (!rejectResponse()) attempt?.responseReader?.applyBackpressure()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        failure = cause.javaClass.simpleName
        attempt?.let { fail(it, "connection failed: ${cause.message}", cause is IOException) }
        channel.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        idleTimeout?.cancel(false)
        connections.remove(this)
        attempt?.let { fail(it, "connection closed", connectionLost = true) }
    }

    private fun readHead(current: EndpointAttempt, response: HttpResponse) {
        if (isJoined(response)) {
            connections.inputDropped(this, UnexpectedInput.JOINED_RESPONSES)
            fail(current, "joined from two answers")
            return
        }
        val status = response.status().code()
        informational = isInterimStatus(status)
        if (informational) return
        val head = codec.readResponse(status) { response.headers().getAll(it) }
        discarding = !belongsTo(current, response, head)
        if (discarding && !passedOver) {
            connections.inputDropped(this, UnexpectedInput.OTHER_RESPONSE)
        }
        passedOver = passedOver || discarding
        if (!discarding && !isFinalStatus(status)) {
            fail(current, "not an HTTP answer: status $status")
            return
        }
        keepsOpen = HttpUtil.isKeepAlive(response)
        keepAliveTime = keepAliveTimeOf(response)
        passOnStatements(current, head)
        if (discarding) return
        current.responseStarted(response, head)
    }

    /**
     * Passes on what the endpoint states of itself. Of a response that is passed over only that it
     * leaves counts, since the rest may be old. One to a request that was meant for another
     * endpoint says nothing of that endpoint.
     */
    private fun passOnStatements(current: EndpointAttempt, head: ResponseHead) {
        if (head.misdirected) return
        head.statements
            .filter { !discarding || it == EndpointStatement.Leaving }
            .forEach { current.endpointStated(it) }
    }

    /**
     * Whether the response provably answers the current request. On a kept connection, an endpoint
     * may write its answer to an earlier request once more, so only the id of the request proves
     * it. A failure without an id belongs to the request if no other was sent on the connection.
     */
    private fun belongsTo(
        current: EndpointAttempt,
        response: HttpResponse,
        head: ResponseHead
    ): Boolean {
        val id = head.callerRequestId
        if (id != null) return id == current.exchange.head.callerRequestId
        return !carriedEarlierRequest && response.status().codeClass() != HttpStatusClass.SUCCESS
    }

    private fun readContent(current: EndpointAttempt, content: HttpContent) {
        try {
            if (informational || discarding) {
                if (content is LastHttpContent) finishDiscarded(current)
                return
            }
            if (failure != null) return
            current.responseReader?.add(content.content())
            if (content is LastHttpContent) current.responseReader?.forward()
        } finally {
            content.release()
        }
        if (rejectResponse()) return
        if (content is LastHttpContent && failure == null) endResponse(current)
    }

    /**
     * Finishes a response whose end was decoded. The decoder takes any end of the connection for
     * the end of a body without a length, but only the endpoint's own close completes it: what
     * another end cuts off is reported as broken off when the connection is closed.
     */
    private fun endResponse(current: EndpointAttempt) {
        val isFramed = current.responseReader?.endsWithConnection != true
        when {
            isFramed -> finish(current)

            endpointClosed -> finishAfterRequestWrite(current)

            // The response has no body, such as one to a HEAD request.
            channel.isActive -> finish(current)
        }
    }

    /**
     * Finishes a response that ended with the endpoint's close once the request is written. An
     * endpoint that crashes may close in the same way, but then resets the rest of the request.
     */
    private fun finishAfterRequestWrite(current: EndpointAttempt) {
        awaitsRequestWrite = true
        requestWrite?.addListener {
            when {
                attempt !== current -> Unit
                it.isSuccess -> finish(current)
                else -> fail(current, "connection closed", connectionLost = true)
            }
        }
    }

    /** Gives up the attempt if its response is rejected; returns whether it is. */
    fun rejectResponse(): Boolean {
        val current = attempt ?: return true
        val cause = current.responseReader?.rejection ?: return false
        fail(current, cause)
        return true
    }

    private fun finishDiscarded(current: EndpointAttempt) {
        informational = false
        if (discarding && !keepsOpen) fail(current, "an answer to another request")
        discarding = false
    }

    /** Finishes a complete response and keeps the connection if it can be reused. */
    private fun finish(current: EndpointAttempt) {
        attempt = null
        // The next request must not follow one that is not completely written yet.
        if (isReusable && requestWrite?.isSuccess == true) {
            idleSince = TimeSource.Monotonic.markNow()
            connections.addIdle(this)
            idleTimeout = channel.eventLoop().schedule(
                { if (attempt == null) channel.close() },
                keepAliveTime.inWholeMilliseconds,
                TimeUnit.MILLISECONDS
            )
        } else {
            channel.close()
        }
        current.responseComplete()
    }

    private fun fail(current: EndpointAttempt, cause: String, connectionLost: Boolean = false) {
        current.responseReader?.forward()
        attempt = null
        failure = failure ?: cause
        channel.close()
        current.responseBrokenOff(cause, connectionLost)
    }
}
