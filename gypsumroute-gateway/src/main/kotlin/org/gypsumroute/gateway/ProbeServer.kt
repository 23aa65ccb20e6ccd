/*
 * A small HTTP server for a fixed set of pages: probes, metrics, and records for other gateways.
 */
package org.gypsumroute.gateway

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress

/** A page of a [ProbeServer] as it is served for one request. */
internal class ProbePage(
    val status: Int,
    val content: ByteArray,
    val contentType: String = "text/plain; charset=utf-8"
) {
    constructor(status: Int, text: String) : this(status, text.encodeToByteArray())
}

/** Serves [pages] by path and responds to other paths with 404. */
internal class ProbeServer(
    private val loop: EventLoopGroup,
    private val pages: Map<String, () -> ProbePage>
) {
    private var listener: Channel? = null

    /** Starts listening and returns the bound address. Throws if the port is in use. */
    fun start(address: InetSocketAddress): InetSocketAddress {
        val bootstrap = ServerBootstrap().group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.pipeline().addLast(
                            HttpServerCodec(),
                            HttpObjectAggregator(MAX_REQUEST_BYTES),
                            PageHandler()
                        )
                    }
                }
            )
        val bound = bootstrap.bind(address).syncUninterruptibly().channel()
        listener = bound
        return bound.localAddress() as InetSocketAddress
    }

    private inner class PageHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val page = pages[request.uri().substringBefore('?')]?.invoke()
                ?: ProbePage(HttpResponseStatus.NOT_FOUND.code(), "no such page\n")
            val body = Unpooled.wrappedBuffer(page.content)
            val status = HttpResponseStatus.valueOf(page.status)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
            response.headers()[HttpHeaderNames.CONTENT_TYPE] = page.contentType
            HttpUtil.setContentLength(response, body.readableBytes().toLong())
            val keepAlive = HttpUtil.isKeepAlive(request)
            if (!keepAlive) {
                response.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
            }
            val written = context.writeAndFlush(response)
            if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
        }

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val MAX_REQUEST_BYTES = 8 * 1024
    }
}
