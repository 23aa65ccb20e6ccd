package org.gypsumroute.gateway.endpoints

import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Channel event: bytes arrived that the decoder may not have turned into a message yet. */
internal object BytesReceived

/**
 * Fires [BytesReceived] for each read, so that the time limit for headers starts with their first
 * byte.
 */
@ChannelHandler.Sharable
internal object BytesReceivedHandler : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        context.fireUserEventTriggered(BytesReceived)
        context.fireChannelRead(message)
    }
}
