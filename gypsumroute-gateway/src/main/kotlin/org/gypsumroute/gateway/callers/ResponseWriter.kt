/*
 * Writes the responses on the connection of one caller, and knows after which of them the
 * connection closes. All of it runs on the traffic event loop.
 */
package org.gypsumroute.gateway.callers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.gypsumroute.api.Failure
import org.gypsumroute.gateway.forwarding.ForwardTraffic

/** Writes to [channel], which stays open for the requests that [pipelined] holds completely. */
internal class ResponseWriter(
    private val channel: Channel,
    private val traffic: ForwardTraffic,
    private val pipelined: PipelinedInput
) {
    private var keepAlive = true
    private var chunked = false

    /** The HTTP version of the current request. */
    var requestVersion: HttpVersion = HttpVersion.HTTP_1_1
        private set

    /** Whether the last response of the connection is complete. */
    var isClosing = false
        private set

    /** Number of bytes written to the channel that the socket has not accepted yet. */
    val unsentBytes: Long get() = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    /**
     * Whether the connection closes after the current response. A planned stop closes it only after
     * the pipelined requests that have been read completely, which have their own responses.
     */
    private val closesAfterResponse: Boolean
        get() = !keepAlive || isClosing ||
            (traffic.draining && !pipelined.hasCompleteRequest)

    /** Notes what the response to [request] depends on. */
    fun requestBegins(request: HttpRequest) {
        requestVersion = request.protocolVersion()
        keepAlive = HttpUtil.isKeepAlive(request)
    }

    /** Tells the caller to send the body of its request. */
    fun sendContinue() {
        channel.writeAndFlush(
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)
        )
    }

    /**
     * Starts a response of unknown length: chunked for HTTP/1.1, else ended by closing the
     * connection.
     */
    fun start(status: HttpResponseStatus, headers: HttpHeaders) {
        chunked = requestVersion == HttpVersion.HTTP_1_1
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
    fun end(): ChannelFuture = complete(DefaultLastHttpContent(Unpooled.EMPTY_BUFFER))

    /** Sends a response with a complete body. */
    fun sendWhole(response: HttpResponse): ChannelFuture {
        setConnectionHeader(response)
        return complete(response)
    }

    /** Sends an error response after which the connection closes. */
    fun refuseAndClose(failure: Failure): ChannelFuture {
        isClosing = true
        keepAlive = false
        val response = refusalResponse(failure)
        response.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
        return channel.writeAndFlush(response)
    }

    /**
     * Closes the connection in the middle of a response so that the caller detects the truncation.
     * A chunked response lacks its last chunk then; one that ends with the connection needs a
     * reset, which a linger time of 0 causes.
     */
    fun abort() {
        if (chunked) channel.close() else channel.reset()
    }

    private fun complete(last: HttpObject): ChannelFuture {
        isClosing = closesAfterResponse
        val written = channel.writeAndFlush(last)
        if (unsentBytes > 0) traffic.limitUnsent()
        return written
    }

    private fun setConnectionHeader(response: HttpResponse) {
        if (closesAfterResponse) {
            keepAlive = false
            response.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
        }
    }
}
