package org.gypsumroute.gateway.endpoints

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes responses of endpoints. A response to a HEAD request has no body even if its headers name
 * a length. Bytes that arrive while no response is due are not decoded, since the decoder would
 * keep an incomplete head and join it to the next response.
 */
internal class ResponseDecoder(private val connection: EndpointConnection) : HttpResponseDecoder() {
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        connection.nextResponseIsBodiless || super.isContentAlwaysEmpty(message)

    /** Tells [connection] of the endpoint's close before the body that it completes is decoded. */
    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event === ChannelInputShutdownEvent.INSTANCE) connection.closedByEndpoint()
        super.userEventTriggered(context, event)
    }

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        if (connection.awaitsResponse) {
            super.decode(context, input, output)
        } else {
            input.skipBytes(input.readableBytes())
            connection.closeUnexpectedInput()
        }
    }
}
