package org.gypsumroute.gateway

import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** User event: bytes arrived, which the decoder may not have turned into a message yet. */
internal object BytesReceived

/** Announces arriving bytes, so that the time for headers starts with the first of them. */
@ChannelHandler.Sharable
internal object BytesReceivedHandler : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        context.fireUserEventTriggered(BytesReceived)
        context.fireChannelRead(message)
    }
}
