/*
 * One connection to an endpoint. It carries one request at a time and is kept only after an answer
 * that was complete and its own.
 */
package org.gypsumroute.gateway

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.gypsumroute.api.EndpointAddress

/** Reads answers for the attempt that uses the connection. */
internal class EndpointConnection(
    val address: EndpointAddress,
    private val codec: ForwardCodec,
    private val connections: EndpointConnections
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var attempt: EndpointAttempt? = null
    private var writing: ChannelFuture? = null
    private var passingOver = false
    private var informational = false
    private var reusable = false
    private var fault: String? = null
    private var idleSince = TimeSource.Monotonic.markNow()
    private var expiry: ScheduledFuture<*>? = null

    /** Whether the answer that is due has no body. */
    var awaitsBodilessAnswer = false
        private set

    /** Whether it is open and nothing unexpected arrived on it. */
    val isUsable: Boolean get() = channel.isActive && attempt == null && fault == null

    /** How long it has carried nothing. */
    val idleTime: Duration get() = idleSince.elapsedNow()

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    /** Sends a request for [next], whose answer goes there. */
    fun send(next: EndpointAttempt, request: FullHttpRequest) {
        expiry?.cancel(false)
        attempt = next
        passingOver = false
        awaitsBodilessAnswer = request.method().name() == "HEAD"
        writing = channel.writeAndFlush(request)
    }

    /** Stops reading until [resumeReading], while the caller reads slowly. */
    fun pauseReading() {
        channel.config().isAutoRead = false
    }

    fun resumeReading() {
        channel.config().isAutoRead = true
    }

    /** Closes the connection; its attempt hears nothing more. */
    fun close() {
        attempt = null
        channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val current = attempt
        if (current == null || message !is HttpObject) {
            // Bytes without a request belong to none; the connection cannot be trusted any more.
            ReferenceCountUtil.release(message)
            fault = "bytes without a request"
            channel.close()
            return
        }
        if (message.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            fail(current, "not an HTTP answer")
            return
        }
        if (message is HttpResponse) readHead(current, message)
        if (message is HttpContent) readContent(current, message)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        attempt?.answer?.flush()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        fault = cause.javaClass.simpleName
        attempt?.let { fail(it, "connection failed: ${cause.message}") }
        channel.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        expiry?.cancel(false)
        connections.forget(this)
        attempt?.let { fail(it, "connection closed") }
    }

    private fun readHead(current: EndpointAttempt, response: HttpResponse) {
        informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        if (informational) return
        val head = codec.readAnswer(response.status().code()) { response.headers()[it] }
        val foreign = head.callerRequestId != null && head.callerRequestId != current.exchange.head.callerRequestId
        val unnamed =
            head.callerRequestId == null && response.status().codeClass() == HttpStatusClass.SUCCESS
        passingOver = foreign || unnamed
        reusable = HttpUtil.isKeepAlive(response)
        keepAliveTime = keepAliveOf(response)
        if (!passingOver) current.answerBegun(response, head)
    }

    private fun readContent(current: EndpointAttempt, content: HttpContent) {
        try {
            if (informational || passingOver) {
                if (content is LastHttpContent) endSkipped(current)
                return
            }
            if (fault != null) return
            current.answer?.add(content.content())
        } finally {
            content.release()
        }
        if (content is LastHttpContent && fault == null) finish(current)
    }

    private fun endSkipped(current: EndpointAttempt) {
        informational = false
        if (passingOver && !reusable) fail(current, "an answer to another request")
        passingOver = false
    }

    /** The answer is complete. */
    private fun finish(current: EndpointAttempt) {
        attempt = null
        // A request whose end the endpoint has not taken must not be followed by other bytes.
        if (reusable && writing?.isSuccess == true && channel.isActive) {
            idleSince = TimeSource.Monotonic.markNow()
            connections.keep(this)
            expiry = channel.eventLoop().schedule(
                { if (attempt == null) channel.close() },
                keepAliveTime.inWholeMilliseconds,
                TimeUnit.MILLISECONDS
            )
        } else {
            channel.close()
        }
        current.answerComplete()
    }

    private fun fail(current: EndpointAttempt, cause: String) {
        attempt = null
        fault = fault ?: cause
        channel.close()
        current.connectionLost(cause)
    }

    private var keepAliveTime: Duration = DEFAULT_KEEP

    private fun keepAliveOf(response: HttpResponse): Duration {
        val seconds = response.headers()[KEEP_ALIVE]?.substringAfter("timeout=", "")
            ?.takeWhile { it.isDigit() }?.toLongOrNull() ?: return DEFAULT_KEEP
        return seconds.seconds * KEPT_SHARE
    }

    private companion object {
        const val KEEP_ALIVE = "Keep-Alive"

        /** Kept that long when the endpoint does not say how long it waits. */
        val DEFAULT_KEEP = 4.seconds

        /** Share of the endpoint's own limit, so that this side closes first. */
        const val KEPT_SHARE = 0.7
    }
}
