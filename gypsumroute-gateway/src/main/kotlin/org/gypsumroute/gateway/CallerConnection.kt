/*
 * One caller's connection: takes one request after the other and writes the answers. Runs on the
 * traffic event loop.
 */
package org.gypsumroute.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.EmptyHttpHeaders
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
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.CallerLimits
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.RequestHead
import org.gypsumroute.core.gateway.RETRY_AFTER

/** Serves one connection. [traffic] gets each complete request. */
internal class CallerConnection(private val traffic: ForwardTraffic) :
    ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var receiving: ReceivedRequest? = null
    private var serving: ForwardExchange? = null
    private var version: HttpVersion = HttpVersion.HTTP_1_1
    private var keepAlive = true
    private var closing = false
    private var received = false

    /** What the caller sent before the answer to its last request was complete. */
    private val waiting = ArrayDeque<HttpObject>()
    private var limit: ScheduledFuture<*>? = null
    private var chunked = false

    /** Bytes written and not yet taken by the socket. */
    val unsentBytes: Long get() = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    /** Whether no request is being received or served. */
    val isIdle: Boolean get() = serving == null && receiving == null && !received

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
        traffic.callers.add(this)
        setLimit(limits.idleTimeout) { channel.close() }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (closing || message !is HttpObject) {
            ReferenceCountUtil.release(message)
            return
        }
        if (serving == null) {
            take(message)
        } else if (waiting.size < MOST_WAITING) {
            waiting.addLast(message)
        } else {
            ReferenceCountUtil.release(message)
            channel.close()
        }
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event === FirstByte && isIdle) {
            received = true
            setLimit(limits.headerTimeout) { refuseAndClose(ErrorKind.REQUEST_INCOMPLETE, "headers") }
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        limit?.cancel(false)
        receiving?.release()
        receiving = null
        waiting.forEach(ReferenceCountUtil::release)
        waiting.clear()
        traffic.callers.remove(this)
        val exchange = serving ?: return
        serving = null
        traffic.callerLeft(exchange)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) serving?.attempt?.connection?.resumeReading()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        channel.close()
    }

    /** Answers with a complete body. */
    fun answer(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, TRAILERS)
        if (!isBodiless(status)) HttpUtil.setContentLength(response, body.readableBytes().toLong())
        finish(response)
    }

    /** Begins an answer of unknown length. */
    fun begin(status: HttpResponseStatus, headers: HttpHeaders) {
        chunked = version == HttpVersion.HTTP_1_1
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers)
        if (chunked) HttpUtil.setTransferEncodingChunked(response, true) else keepAlive = false
        setConnectionHeader(response)
        channel.write(response)
    }

    /** Passes a part of an answer that has begun. */
    fun pass(bytes: ByteBuf) {
        channel.writeAndFlush(DefaultHttpContent(bytes))
    }

    /** Completes an answer that has begun. */
    fun end() = finish(DefaultLastHttpContent(Unpooled.EMPTY_BUFFER))

    /** Ends an answer that has begun so that it cannot look complete. */
    fun cut() {
        serving = null
        if (!chunked) channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    /** Answers with an error of the gateway's own. */
    fun refuse(failure: Failure) {
        val headers = refusalHeaders(failure)
        answer(HttpResponseStatus.valueOf(failure.kind.httpStatus), headers, refusalBody(failure))
    }

    /** Closes the connection unless a request is on its way. */
    fun closeIfIdle() {
        if (isIdle) channel.close()
    }

    private fun take(message: HttpObject) {
        val fault = message.decoderResult().cause()
        when {
            fault != null -> {
                ReferenceCountUtil.release(message)
                refuseMalformed(fault)
            }

            message is HttpRequest -> beginRequest(message)
        }
        if (fault == null && message is HttpContent) addContent(message)
    }

    private fun beginRequest(message: HttpRequest) {
        version = message.protocolVersion()
        keepAlive = HttpUtil.isKeepAlive(message)
        received = true
        val length = HttpUtil.getContentLength(message, 0L)
        if (length > limits.maxBodyBytes) {
            refuseAndClose(ErrorKind.BODY_TOO_LARGE, "body of $length bytes")
            return
        }
        if (!traffic.heldBodies.hasRoom(length)) {
            refuseAndClose(ErrorKind.OVERLOADED, "no room for a body of $length bytes")
            return
        }
        if (!isForwardable(message.uri())) {
            refuseAndClose(ErrorKind.MALFORMED_REQUEST, "request target")
            return
        }
        if (HttpUtil.is100ContinueExpected(message)) {
            channel.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)
            )
        }
        val line = RequestLine(message.method().name(), message.uri())
        val head = traffic.codec.readHead(line) { message.headers()[it] }
        receiving = ReceivedRequest(line, head, message.headers(), traffic.heldBodies)
        setLimit(head.timeout ?: limits.idleTimeout) {
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
        } else if (!traffic.heldBodies.hasRoom(0)) {
            refuseAndClose(ErrorKind.OVERLOADED, "no room for more of the body")
        } else if (content is LastHttpContent) {
            receiving = null
            limit?.cancel(false)
            serving = traffic.open(this, request, version)
        }
    }

    private fun finish(last: HttpObject) {
        if (last is HttpResponse) setConnectionHeader(last)
        val close = !keepAlive || closing || traffic.draining
        closing = close
        setLimit(limits.idleTimeout) { channel.close() }
        val written = channel.writeAndFlush(last)
        serving = null
        received = false
        if (close) {
            written.addListener(ChannelFutureListener.CLOSE)
        } else {
            written.addListener { takeWaiting() }
        }
    }

    private fun takeWaiting() {
        while (serving == null && !closing) take(waiting.removeFirstOrNull() ?: return)
    }

    private fun setConnectionHeader(response: HttpResponse) {
        if (!keepAlive || closing || traffic.draining) {
            keepAlive = false
            response.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
        }
    }

    private fun refuseMalformed(fault: Throwable) = when (fault) {
        is TooLongHttpHeaderException, is TooLongHttpLineException ->
            refuseAndClose(ErrorKind.HEADERS_TOO_LARGE, "headers")

        else -> refuseAndClose(ErrorKind.MALFORMED_REQUEST, "not HTTP/1.1")
    }

    /**
     * Answers and closes. The caller may still be sending; closing with unread bytes would reset
     * the connection and lose the answer, so what comes is dropped for a while first.
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
                kind ==
                    ErrorKind.OVERLOADED
            }
        )
        val headers = refusalHeaders(failure)
        headers[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
        val status = HttpResponseStatus.valueOf(kind.httpStatus)
        val body = refusalBody(failure)
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, TRAILERS)
        HttpUtil.setContentLength(response, body.readableBytes().toLong())
        traffic.refusedAlone(failure)
        channel.writeAndFlush(response).addListener {
            (channel as? SocketChannel)?.shutdownOutput()
        }
        setLimit(LINGER) { channel.close() }
    }

    private fun setLimit(after: Duration, action: () -> Unit) {
        limit?.cancel(false)
        limit = channel.eventLoop()
            .schedule(action, after.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private val limits: CallerLimits get() = traffic.limits

    private companion object {
        /** Parts of later requests that are kept while one is served. */
        const val MOST_WAITING = 64
        val LINGER = 1.seconds
        val TRAILERS = EmptyHttpHeaders.INSTANCE
    }
}

/** A request whose body is not complete yet. */
internal class ReceivedRequest(
    val line: RequestLine,
    val head: RequestHead,
    val headers: HttpHeaders,
    private val held: HeldBodies
) {
    val body: ByteBuf = Unpooled.buffer(0)

    /** Adds a part of the body. */
    fun add(part: ByteBuf) {
        held.add(part.readableBytes())
        body.writeBytes(part)
    }

    /** Frees the body. */
    fun release() {
        held.remove(body.readableBytes())
        body.release()
    }
}

/** Only such a target can be passed on byte for byte. */
private fun isForwardable(target: String): Boolean =
    target.isNotEmpty() && target.all { it in '!'..'~' }

private fun isBodiless(status: HttpResponseStatus): Boolean =
    status.code() == HttpResponseStatus.NO_CONTENT.code() ||
        status.code() == HttpResponseStatus.NOT_MODIFIED.code()
