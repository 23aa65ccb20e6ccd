/*
 * Decoder of requests and encoder of responses on the connection of one caller.
 *
 * The bytes of a head stay as they came until the head is complete, because header fields as
 * objects take many times their memory: a caller may send thousands of lines and never finish.
 * Trailers are not forwarded, so they are dropped while they are read.
 */
package org.gypsumroute.gateway.callers

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent

/** The codec of [connection], whose heads may have [maxHeaderBytes] bytes. */
internal class CallerCodec(connection: CallerConnection, maxHeaderBytes: Int) :
    CombinedChannelDuplexHandler<RequestDecoder, ResponseEncoder>() {
    init {
        val methods = ArrayDeque<HttpMethod>()
        init(RequestDecoder(connection, maxHeaderBytes, methods), ResponseEncoder(methods))
    }
}

/** Adds the method of each request to [methods]. */
internal class RequestDecoder(
    private val connection: CallerConnection,
    maxHeaderBytes: Int,
    private val methods: ArrayDeque<HttpMethod>
) : HttpRequestDecoder(
    HttpDecoderConfig()
        .setMaxInitialLineLength(maxHeaderBytes)
        .setMaxHeaderSize(maxHeaderBytes)
        .setTrailersFactory(DroppedTrailers)
) {
    private val scanner = RequestHeadScanner(maxHeaderBytes)
    private var awaitsHead = true

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        if (awaitsHead) receiveHead(input)
        if (connection.discardsInput) input.skipBytes(input.readableBytes())
        if (awaitsHead) return
        val known = output.size
        super.decode(context, input, output)
        for (index in known until output.size) follow(output[index] as HttpObject)
    }

    private fun receiveHead(input: ByteBuf) = when (scanner.scan(input)) {
        HeadProgress.PARTIAL -> connection.partOfHeadHeld(input.capacity())
        HeadProgress.COMPLETE -> awaitsHead = false
        HeadProgress.TOO_LARGE -> connection.headTooLarge()
    }

    /** Keeps track of where the next head begins. */
    private fun follow(message: HttpObject) {
        if (message is HttpRequest) {
            scanner.reset()
            connection.partOfHeadHeld(0)
            methods.addLast(message.method())
        }
        // The decoder discards all that follows a malformed message.
        if (message is LastHttpContent && message.decoderResult().isSuccess) awaitsHead = true
    }
}

/** Leaves the body out of responses to HEAD requests. */
internal class ResponseEncoder(private val methods: ArrayDeque<HttpMethod>) :
    HttpResponseEncoder() {
    override fun isContentAlwaysEmpty(response: HttpResponse): Boolean {
        val isInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        val method = if (isInformational) null else methods.removeFirstOrNull()
        return method == HttpMethod.HEAD || super.isContentAlwaysEmpty(response)
    }
}

/** Trailers that stay empty whatever is added to them. */
private object DroppedTrailers : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = NoHeaders()

    override fun newEmptyHeaders(): HttpHeaders = NoHeaders()
}

private class NoHeaders : DefaultHttpHeaders(false) {
    override fun add(name: CharSequence, value: Any): HttpHeaders = this

    override fun add(name: String, value: Any): HttpHeaders = this
}
