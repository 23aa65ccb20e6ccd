/*
 * The connection of one caller: serves its requests one at a time, in the order in which they
 * arrive. All of it runs on the traffic event loop.
 */
package org.gypsumroute.gateway.callers

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.gypsumroute.api.CallerLimits
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.gateway.endpoints.BytesReceived
import org.gypsumroute.gateway.forwarding.ForwardExchange
import org.gypsumroute.gateway.forwarding.ForwardTraffic
import org.gypsumroute.gateway.forwarding.ReadTurn

/** Serves one connection and passes each complete request to [traffic]. */
internal class CallerConnection(private val traffic: ForwardTraffic, private val turn: ReadTurn) :
    ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private lateinit var responses: ResponseWriter
    private val pipelined = PipelinedInput(traffic.memory.bodies)
    private val receiver = RequestReceiver(traffic)
    private val timeout = CallerTimeout()

    /** A complete request that is passed on unless the caller turns out to have left. */
    private var received: ReceivedRequest? = null
    private var serving: ForwardExchange? = null
    private var requestStarted = false

    /** Whether a response is complete but not written to the socket yet. */
    private var finishing = false

    /** Number of bytes written to the channel that the socket has not accepted yet. */
    val unsentBytes: Long get() = responses.unsentBytes

    /** Whether a request is complete and its response is not written to the socket yet. */
    private val isBusy: Boolean get() = received != null || serving != null || finishing

    /** When the last response was complete, or else the connection was opened. */
    var idleSince = TimeSource.Monotonic.markNow()
        private set

    /** Whether what the caller sends is not looked at any more. */
    val discardsInput: Boolean get() = responses.isClosing || pipelined.isTruncated

    /** Whether no request is being received or served. */
    val isIdle: Boolean get() = !isBusy && receiver.receiving == null && !requestStarted

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
        responses = ResponseWriter(channel, traffic, pipelined)
        traffic.callerConnected(this)
        setTimeout(limits.idleTimeout) { channel.close() }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        turn.messageRead()
        if (responses.isClosing || message !is HttpObject) {
            ReferenceCountUtil.release(message)
            return
        }
        if (!isBusy) {
            process(message)
        } else {
            pipelined.add(message, limits.maxBodyBytes.toLong() * PIPELINED_BODIES)
        }
    }

    /** Called when [bytes] bytes of memory are held for a head that is not complete. */
    fun partOfHeadHeld(bytes: Int) {
        receiver.holdPartOfHead(bytes)?.let(::refuseHead)
    }

    /** Called when a head is larger than the limit before it is complete. */
    fun headTooLarge() = refuseHead(RequestRejection(ErrorKind.HEADERS_TOO_LARGE, "headers"))

    /** Refuses a request, behind the response to the one before it if that is still served. */
    private fun refuseHead(rejection: RequestRejection) =
        if (isBusy) pipelined.truncate() else refuseAndClose(rejection)

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event === BytesReceived && isIdle) {
            requestStarted = true
            setTimeout(limits.headerTimeout) {
                refuseAndClose(ErrorKind.REQUEST_INCOMPLETE, "headers")
            }
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timeout.cancel()
        receiver.holdPartOfHead(0)
        receiver.discard()
        withdraw()
        pipelined.clear()
        traffic.callerClosed(this)
        val exchange = serving ?: return
        serving = null
        traffic.callerDisconnected(exchange)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) serving?.attempts?.forEach { it.connection?.resumeReading() }
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        channel.close()
    }

    /** Sends a response with a complete body. */
    fun sendResponse(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) =
        sendWhole(wholeResponse(status, headers, body))

    /** Starts a response of unknown length. */
    fun startResponse(status: HttpResponseStatus, headers: HttpHeaders) =
        responses.start(status, headers)

    /** Sends a part of the body of a response that has started. */
    fun sendPart(bytes: ByteBuf) = responses.sendPart(bytes)

    /** Completes a response that has started. */
    fun endResponse() = respond { responses.end() }

    /** Closes the connection in the middle of a response. */
    fun abortResponse() {
        serving = null
        responses.abort()
    }

    /** Resets the connection and drops what is unsent, to save memory or descriptors. */
    fun drop() = channel.reset()

    /** Sends an error response of the gateway itself. */
    fun refuse(failure: Failure) = sendWhole(refusalResponse(failure))

    /**
     * Closes the connection unless a request is being received or served. A request that the socket
     * holds already is read and answered.
     */
    fun closeIfIdle() = traffic.afterReads { if (isIdle) channel.close() }

    /** Refuses a request that has not arrived completely, because the process ends. */
    fun refuseIncomplete() {
        val incomplete = !isBusy && (requestStarted || receiver.receiving != null)
        if (incomplete) refuseAndClose(ErrorKind.DRAINING, "the gateway stops")
    }

    private fun process(message: HttpObject) {
        val decodingError = message.decoderResult().cause()
        when {
            decodingError != null -> {
                ReferenceCountUtil.release(message)
                refuseAndClose(rejectionOf(decodingError))
            }

            message is HttpRequest -> beginRequest(message)
        }
        if (decodingError == null && message is HttpContent) addContent(message)
    }

    private fun beginRequest(message: HttpRequest) {
        responses.requestBegins(message)
        requestStarted = true
        val rejection = rejectionOf(message, limits, traffic.memory.bodies)
        if (rejection != null) return refuseAndClose(rejection)
        if (HttpUtil.is100ContinueExpected(message)) responses.sendContinue()
        receiver.begin(message)?.let { return refuseAndClose(it) }
        val timeLimit = receiver.receiving?.head?.timeout ?: limits.idleTimeout
        setTimeout(timeLimit.coerceAtMost(MAX_BODY_TIME)) {
            refuseAndClose(ErrorKind.REQUEST_INCOMPLETE, "body")
        }
    }

    private fun addContent(content: HttpContent) {
        val request = receiver.receiving
        if (responses.isClosing || request == null) {
            content.release()
            return
        }
        val rejection = receiver.addBody(request, content.content())
        content.release()
        if (rejection != null) return refuseAndClose(rejection)
        if (content is LastHttpContent) {
            received = receiver.takeRequest()
            timeout.cancel()
            traffic.afterReads(::passOn)
        }
    }

    /** Passes a complete request on, unless the caller's close was read behind it. */
    private fun passOn() {
        if (!channel.isOpen) return withdraw()
        val request = received ?: return
        received = null
        serving = traffic.open(this, request, responses.requestVersion)
    }

    /** Drops a complete request that was not passed on, because the caller has left. */
    private fun withdraw() {
        val request = received ?: return
        received = null
        request.release()
        traffic.requestWithdrawn(request.head)
    }

    private fun sendWhole(response: HttpResponse) = respond { responses.sendWhole(response) }

    /** Completes the response with what [send] writes last, and goes on after that. */
    private inline fun respond(send: () -> ChannelFuture) {
        setTimeout(limits.idleTimeout) { channel.close() }
        serving = null
        requestStarted = false
        finishing = true
        idleSince = TimeSource.Monotonic.markNow()
        val written = send()
        if (responses.isClosing) {
            written.addListener { closeAfterInput() }
        } else {
            written.addListener { processPipelined() }
        }
    }

    /** Goes on with parts of later requests, in the order in which they arrived. */
    private fun processPipelined() {
        finishing = false
        while (!isBusy && !responses.isClosing) {
            process(pipelined.removeFirst() ?: return refuseTruncated())
        }
    }

    /** Refuses the request of which parts were dropped while the one before it was served. */
    private fun refuseTruncated() {
        if (!pipelined.isTruncated) return
        refuseAndClose(ErrorKind.OVERLOADED, "no room for more pipelined requests")
    }

    private fun refuseAndClose(kind: ErrorKind, detail: String) =
        refuseAndClose(RequestRejection(kind, detail))

    /**
     * Sends an error response and closes the connection, although the caller may still be sending.
     */
    private fun refuseAndClose(rejection: RequestRejection) {
        if (responses.isClosing) return
        receiver.discard()
        val failure = rejection.toFailure()
        traffic.requestRejected(failure)
        setTimeout(limits.idleTimeout) { channel.close() }
        responses.refuseAndClose(failure).addListener { closeAfterInput() }
    }

    private fun closeAfterInput() =
        channel.closeAfterInput { close -> setTimeout(LINGERING_CLOSE_TIME, close) }

    private fun setTimeout(after: Duration, action: () -> Unit) =
        timeout.set(channel, after, action)

    private val limits: CallerLimits get() = traffic.limits

    private companion object {
        /** How many of the largest bodies may wait for the request before them. */
        const val PIPELINED_BODIES = 2
        val LINGERING_CLOSE_TIME = 1.seconds

        /** A body that takes longer is refused, whatever time its caller states. */
        val MAX_BODY_TIME = 60.seconds
    }
}
