package org.gypsumroute.gateway.callers

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import java.net.InetSocketAddress
import org.gypsumroute.gateway.endpoints.BytesReceivedHandler
import org.gypsumroute.gateway.forwarding.ForwardTraffic
import org.gypsumroute.gateway.forwarding.ReadTurn

/** Listens for callers' connections. */
internal class CallerServer(private val loop: EventLoopGroup, private val traffic: ForwardTraffic) {
    private var listener: Channel? = null

    /** Starts listening and returns the bound address. Throws if the port is in use. */
    fun start(address: InetSocketAddress): InetSocketAddress {
        val bootstrap = ServerBootstrap().group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) = addHandlers(channel)
                }
            )
        val bound = bootstrap.bind(address).syncUninterruptibly().channel()
        listener = bound
        return bound.localAddress() as InetSocketAddress
    }

    /** Closes the port; connections that were accepted are served on. */
    fun stop() {
        listener?.close()
    }

    private fun addHandlers(channel: SocketChannel) {
        // Reads on, so that a close behind a request is seen together with the request.
        val turn = ReadTurn(readsUntilEmpty = true)
        channel.config().setRecvByteBufAllocator(turn)
        val connection = CallerConnection(traffic, turn)
        channel.pipeline().addLast(
            BytesReceivedHandler,
            CallerCodec(connection, traffic.limits.maxHeaderBytes),
            connection
        )
    }

    private companion object {
        const val BACKLOG = 1024
    }
}
