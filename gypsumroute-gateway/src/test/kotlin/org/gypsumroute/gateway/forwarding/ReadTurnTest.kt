/*
 * What one connection may have read before the others have their turn. Guards against an event loop
 * that one connection keeps busy with bytes of which each few are a message.
 */
package org.gypsumroute.gateway.forwarding

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class ReadTurnTest {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** Numbers of reads in each turn. */
    private val turns = LinkedBlockingQueue<Int>()

    @AfterTest
    fun close() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    /** Takes each of [messageBytes] bytes of a read for a message. */
    private inner class CountingHandler(private val turn: ReadTurn, private val messageBytes: Int) :
        ChannelInboundHandlerAdapter() {
        private var reads = 0

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            val bytes = message as ByteBuf
            repeat(bytes.readableBytes() / messageBytes) { turn.messageRead() }
            bytes.release()
            reads++
        }

        override fun channelReadComplete(context: ChannelHandlerContext) {
            turns += reads
            reads = 0
        }
    }

    private fun listen(messageBytes: Int): Channel = ServerBootstrap().group(loop)
        .channel(NioServerSocketChannel::class.java)
        .childHandler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    val turn = ReadTurn(readsUntilEmpty = false)
                    channel.config().setRecvByteBufAllocator(turn)
                    channel.pipeline().addLast(CountingHandler(turn, messageBytes))
                }
            }
        )
        .bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .syncUninterruptibly()
        .channel()

    /** The reads in the first turn after [BYTES] bytes have arrived. */
    private fun readsInTurn(messageBytes: Int): Int {
        val port = (listen(messageBytes).localAddress() as InetSocketAddress).port
        Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
            socket.getOutputStream().write(1)
            assertEquals(1, nextTurn())
            loop.whileOccupied { socket.getOutputStream().write(ByteArray(BYTES)) }
            return nextTurn()
        }
    }

    private fun nextTurn(): Int = assertNotNull(turns.poll(5, TimeUnit.SECONDS))

    @Test
    fun `a connection waits for its next turn once a read held many small messages`() {
        assertEquals(1, readsInTurn(messageBytes = 7))
    }

    @Test
    fun `a connection reads on while its messages are large`() {
        val reads = readsInTurn(messageBytes = 8192)
        assertTrue(reads > 2, "$reads reads")
    }

    private companion object {
        /** Fits into the buffers of the sockets and is more than the first reads take. */
        const val BYTES = 100_000
    }
}
