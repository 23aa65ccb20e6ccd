/*
 * Connections to endpoints. Idle connections are reused for later requests and closed before the
 * endpoint would close them.
 */
package org.gypsumroute.gateway.endpoints

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import java.net.InetSocketAddress
import jdk.net.ExtendedSocketOptions
import kotlin.time.Duration
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.UnexpectedInput
import org.gypsumroute.gateway.forwarding.ForwardCodec
import org.gypsumroute.gateway.forwarding.ReadTurn

/**
 * Opens connections and stores idle ones. All functions run on the traffic event loop, and call
 * [onInputDropped] there with the endpoint that sent bytes without a request for them.
 */
internal class EndpointConnections(
    loop: EventLoopGroup,
    private val codec: ForwardCodec,
    private val onInputDropped: (EndpointAddress, UnexpectedInput) -> Unit
) {
    private val idle = HashMap<EndpointAddress, ArrayDeque<EndpointConnection>>()
    private val bootstrap = Bootstrap().group(loop)
        .channel(NioSocketChannel::class.java)
        // Tells a close by the endpoint from all other ends of the connection.
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)

    /**
     * Removes and returns the most recently used connection that is usable and was idle for less
     * than [maxIdle], or null if there is none. Closes the other connections that it inspects.
     */
    fun takeIdle(address: EndpointAddress, maxIdle: Duration): EndpointConnection? {
        val candidates = idle[address] ?: return null
        while (true) {
            val connection = candidates.removeLastOrNull() ?: return null
            if (connection.isUsable && connection.idleTime < maxIdle) return connection
            connection.close()
        }
    }

    /**
     * Opens a connection and calls [onResult] with it, or with null and the cause of the failure.
     */
    fun open(address: EndpointAddress, onResult: (EndpointConnection?, String) -> Unit) {
        val turn = ReadTurn(readsUntilEmpty = false)
        val connection = EndpointConnection(address, codec, this, turn)
        val opening: ChannelFuture = bootstrap.clone()
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.config().setRecvByteBufAllocator(turn)
                        channel.pipeline()
                            .addLast(HttpRequestEncoder(), ResponseDecoder(connection), connection)
                    }
                }
            )
            .connect(InetSocketAddress(address.host, address.port))
        opening.addListener {
            if (it.isSuccess) {
                onResult(connection, "")
            } else {
                onResult(null, "connect: ${it.cause().javaClass.simpleName}")
            }
        }
    }

    /** Called when [connection] received bytes that belong to no open request. */
    fun inputDropped(connection: EndpointConnection, input: UnexpectedInput) =
        onInputDropped(connection.address, input)

    /** Stores an idle connection for a later request. */
    fun addIdle(connection: EndpointConnection) {
        idle.getOrPut(connection.address) { ArrayDeque() }.addLast(connection)
    }

    /** Removes a connection that was closed. */
    fun remove(connection: EndpointConnection) {
        idle[connection.address]?.remove(connection)
    }

    /** Closes all idle connections to an endpoint. */
    fun closeIdle(address: EndpointAddress) {
        idle.remove(address)?.forEach { it.close() }
    }

    private companion object {
        /**
         * One second without traffic and two unanswered probes, one second apart, detect a dead
         * connection after about three seconds.
         */
        const val KEEP_ALIVE_SECONDS = 1
        const val KEEP_ALIVE_PROBES = 2
        const val CONNECT_TIMEOUT_MS = 300
    }
}
