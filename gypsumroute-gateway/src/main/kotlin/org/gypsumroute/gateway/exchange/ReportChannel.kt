/*
 * Sends and receives the reports between gateways as UDP datagrams.
 *
 * The socket uses the traffic event loop. Ktor's datagram socket runs its selector on a separate
 * thread, and with it a gateway on one processor took up to a second to receive a datagram.
 */
package org.gypsumroute.gateway.exchange

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
 * Sends and receives reports. [onReport] is called with each report. [onRejected] is called with
 * the sender of each datagram that is no valid report, or with null if the socket failed. Both are
 * called on the event loop.
 */
internal class ReportChannel(
    private val loop: EventLoopGroup,
    private val onReport: (EndpointAddress, GatewayReport) -> Unit,
    private val onRejected: (EndpointAddress?, ProtocolError) -> Unit
) {
    private var channel: Channel? = null

    /** Binds the socket to [address]. Throws if the port is in use. */
    fun start(address: EndpointAddress) {
        channel = Bootstrap().group(loop)
            .channel(NioDatagramChannel::class.java)
            .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(Receiver())
            .bind(InetSocketAddress(address.host, address.port))
            .syncUninterruptibly()
            .channel()
    }

    /** Sends a report to each address. Datagrams that cannot be sent are lost without an error. */
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
            decodeReport(content).fold({ onRejected(from, it) }, { onReport(from, it) })
        }

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            // For example, a destination refused a datagram. The next report is sent to it as
            // usual.
            onRejected(null, ProtocolError("datagram socket: ${cause.message}"))
        }
    }

    private companion object {
        const val MAX_DATAGRAM_BYTES = 16 * 1024
    }
}
