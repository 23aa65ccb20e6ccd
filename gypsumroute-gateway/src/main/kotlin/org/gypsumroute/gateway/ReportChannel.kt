/*
 * Datagrams with the reports between gateways.
 *
 * They use the traffic event loop: with Ktor's datagram socket, whose selector has a thread of its
 * own, a gateway with one processor took up to a second to notice a datagram.
 */
package org.gypsumroute.gateway

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import java.net.InetSocketAddress
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.wire.ProtocolError
import org.gypsumroute.wire.decodeReport
import org.gypsumroute.wire.encodeReport

/**
 * Sends and receives reports. [received] gets each report and [rejected] each datagram that is
 * none, or null as its sender if the socket failed; both are called on the event loop.
 */
internal class ReportChannel(
    private val loop: EventLoopGroup,
    private val received: (EndpointAddress, GatewayReport) -> Unit,
    private val rejected: (EndpointAddress?, ProtocolError) -> Unit
) {
    private var channel: Channel? = null

    /** Binds to [address]. Throws if the port is in use. */
    fun start(address: EndpointAddress) {
        channel = Bootstrap().group(loop)
            .channel(NioDatagramChannel::class.java)
            .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(LARGEST_DATAGRAM))
            .handler(Receiver())
            .bind(InetSocketAddress(address.host, address.port))
            .syncUninterruptibly()
            .channel()
    }

    /** Sends a report to each address; what cannot be sent is dropped, as a lost datagram would. */
    fun send(to: List<EndpointAddress>, report: GatewayReport) {
        val bound = channel ?: return
        val content = Unpooled.wrappedBuffer(encodeReport(report))
        for (address in to) {
            val target = InetSocketAddress(address.host, address.port)
            bound.write(DatagramPacket(content.retainedDuplicate(), target))
        }
        content.release()
        bound.flush()
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            val sender = packet.sender()
            val from = EndpointAddress(sender.address.hostAddress, sender.port)
            val content = ByteArray(packet.content().readableBytes())
            packet.content().readBytes(content)
            decodeReport(content).fold({ rejected(from, it) }, { received(from, it) })
        }

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            // An address that refuses datagrams shows up here; the next report is tried again.
            rejected(null, ProtocolError("datagram socket: ${cause.message}"))
        }
    }

    private companion object {
        const val LARGEST_DATAGRAM = 16 * 1024
    }
}
