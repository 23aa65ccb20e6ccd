/*
 * Reads one response of an endpoint. Event streams are forwarded event by event. Other responses
 * are buffered until they are complete, so that another attempt can replace a truncated one.
 */
package org.gypsumroute.gateway.endpoints

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.gateway.forwarding.BufferedResponse
import org.gypsumroute.gateway.forwarding.ForwardTraffic
import org.gypsumroute.gateway.forwarding.forwardedHeaders

/** Buffers or forwards the response that starts with [response]. */
internal class ResponseReader(
    private val attempt: EndpointAttempt,
    response: HttpResponse,
    private val head: ResponseHead,
    private val traffic: ForwardTraffic
) {
    private val status: HttpResponseStatus = response.status()
    private val headers: HttpHeaders = forwardedHeaders(response.headers())
    private val exchange = attempt.exchange

    /** Whether the body, if there is one, ends where the endpoint closes the connection. */
    val endsWithConnection =
        !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)
    private val isStream = attempt.target.streaming && mayBeEventStream(response.headers())

    /** Whether the caller has a part of the answer already, which this response has to continue. */
    private val resumesAnswer = exchange.responseStarted

    /** Whether the response may be relayed to the caller as it arrives. */
    private val success = status.codeClass() == HttpStatusClass.SUCCESS && head.signed &&
        (!resumesAnswer || continuesStream())
    private val eventSplitter = if (success && isStream) EventSplitter() else null
    private var bufferedBody: ByteBuf = Unpooled.buffer(0)
    private var relaying = false
    private var lacksMemory = false
    private var repeatsEvents = false
    private var lastForwardedAt: TimeMark? = null
    private var longestPause = Duration.ZERO

    /** Whether a part of this response was sent to the caller. */
    var deliveryStarted = false
        private set

    /** Takes the next bytes of the body, which [forward] passes on. */
    fun add(bytes: ByteBuf) {
        if (eventSplitter != null) {
            eventSplitter.add(bytes)
        } else {
            attempt.bytesReceived(bytes.readableBytes())
            bufferedBody.writeBytes(bytes)
        }
        if (bufferedBytes >= MAX_UNFORWARDED_BYTES) forward()
    }

    /**
     * Passes on what has arrived and may be passed on. Called after each read from the connection
     * and not for each chunk, since every part that is passed on costs a write to a socket.
     */
    fun forward() {
        when {
            rejection != null -> return
            eventSplitter != null -> forwardStream(eventSplitter)
            relaying -> relayBuffered()
            success && bufferedBytes > MAX_BUFFERED_BYTES -> startRelay()
        }
        traffic.answerMemory.update(this, eventSplitter?.capacityBytes ?: bufferedBody.capacity())
    }

    /**
     * Frees the buffers, because all answers together take too much memory: passes on what may be
     * passed on, unless callers already read too slowly, and gives up the attempt otherwise.
     */
    fun freeMemory() {
        if (success && eventSplitter == null && !traffic.callersAreSlow) {
            startRelay()
        } else {
            lacksMemory = true
            attempt.responseRejected()
        }
    }

    /** Why the attempt has to end although the response goes on, or null. */
    val rejection: String?
        get() = when {
            lacksMemory -> "no memory for more of the answer"
            repeatsEvents -> "events that the caller has"
            isOversized -> "an answer or event without end"
            else -> null
        }

    private val bufferedBytes: Int
        get() = eventSplitter?.bufferedBytes ?: bufferedBody.readableBytes()

    /** Whether more has come than any valid answer or event needs. */
    private val isOversized: Boolean
        get() {
            if (eventSplitter != null) return eventSplitter.bytesWithoutEvent > MAX_BUFFERED_BYTES
            return !success && bufferedBytes > MAX_BUFFERED_BYTES
        }

    /**
     * Applies backpressure: stops reading from the endpoint while too much is unsent to the caller.
     * Called after each read from the endpoint's connection.
     */
    fun applyBackpressure() {
        val unsent = exchange.caller.unsentBytes
        val isSlow = unsent > MAX_UNSENT_BYTES ||
            (unsent > MIN_UNSENT_BYTES && traffic.callersAreSlow)
        if (isSlow) attempt.connection?.pauseReading()
    }

    /** Finishes the response after its last byte and returns the outcome of the attempt. */
    fun complete(): AttemptOutcome {
        val code = status.code()
        return when {
            eventSplitter != null -> completeStream(eventSplitter)

            relaying -> AttemptOutcome.Completed(code, longestPause).also {
                exchange.caller.endResponse()
            }

            success -> completeBuffered()

            head.notRun -> AttemptOutcome.NotRun(code, head.misdirected, head.faultyAddress)

            status.codeClass() == HttpStatusClass.SUCCESS -> AttemptOutcome.Lost(
                if (head.signed) "not the rest of the answer" else "unsigned answer"
            )

            code in notRunStatuses -> AttemptOutcome.Lost(
                "endpoint answered $code without a promise"
            )

            else -> bufferFailure()
        }
    }

    /** Releases the buffers. */
    fun release() {
        traffic.answerMemory.remove(this)
        eventSplitter?.release()
        bufferedBody.release()
    }

    private fun continuesStream(): Boolean = isStream && status == HttpResponseStatus.OK

    private fun completeStream(splitter: EventSplitter): AttemptOutcome = when {
        // Nothing marks the end of such a stream, so it may have broken off before its first event.
        endsWithConnection && !deliveryStarted && !splitter.hasPartialEvent ->
            AttemptOutcome.Lost("stream ended before its first event", connectionLost = true)

        splitter.hasPartialEvent && deliveryStarted -> AttemptOutcome.Broken(
            "stream ended inside an event",
            connectionLost = endsWithConnection
        )

        splitter.hasPartialEvent -> AttemptOutcome.Lost(
            "stream ended inside an event",
            connectionLost = endsWithConnection
        )

        else -> {
            traffic.takeOver(attempt)
            startResponse()
            exchange.caller.sendPart(splitter.takeRest())
            exchange.caller.endResponse()
            AttemptOutcome.Completed(status.code(), longestPause)
        }
    }

    private fun completeBuffered(): AttemptOutcome {
        exchange.responseStarted = true
        exchange.caller.sendResponse(status, headers, bufferedBody.retainedSlice())
        return AttemptOutcome.Completed(status.code(), longestPause)
    }

    private fun bufferFailure(): AttemptOutcome {
        exchange.failureResponse?.body?.release()
        exchange.failureResponse =
            BufferedResponse(status.code(), headers, bufferedBody.retainedSlice())
        return AttemptOutcome.Failed(status.code())
    }

    private fun forwardStream(splitter: EventSplitter) {
        splitter.scan()
        when {
            splitter.hasEvent -> forwardEvents(splitter)

            // Comments keep the caller's connection alive, but never begin or take over an answer.
            deliveryStarted && exchange.attempts.size == 1 -> sendBlocks(splitter)
        }
    }

    private fun forwardEvents(splitter: EventSplitter) {
        val first = !deliveryStarted
        if (first && resumesAnswer && !mayFollow(splitter.firstEventId, exchange.lastEventId)) {
            repeatsEvents = true
            return
        }
        traffic.takeOver(attempt)
        startResponse()
        deliveryStarted = true
        sendBlocks(splitter)
        recordPause()
        attempt.restartTimeout()
        if (first) traffic.streamStarted(attempt)
    }

    private fun sendBlocks(splitter: EventSplitter) {
        val blocks = splitter.takeBlocks() ?: return
        exchange.lastEventId = splitter.lastEventId ?: exchange.lastEventId
        exchange.caller.sendPart(blocks)
    }

    private fun recordPause() {
        lastForwardedAt?.let { longestPause = maxOf(longestPause, it.elapsedNow()) }
        lastForwardedAt = TimeSource.Monotonic.markNow()
    }

    private fun startRelay() {
        relaying = true
        deliveryStarted = true
        startResponse()
        relayBuffered()
        traffic.streamStarted(attempt)
    }

    private fun relayBuffered() {
        if (!bufferedBody.isReadable) return
        val part = bufferedBody
        bufferedBody = Unpooled.buffer(0)
        exchange.caller.sendPart(part)
    }

    private fun startResponse() {
        if (exchange.responseStarted) return
        exchange.responseStarted = true
        exchange.caller.startResponse(status, headers)
    }

    private companion object {
        /**
         * Successful responses larger than this are forwarded while they arrive. A failure response
         * or an event that is larger is not accepted.
         */
        const val MAX_BUFFERED_BYTES = 1024 * 1024

        /** What arrives within one read is passed on in parts of about this size. */
        const val MAX_UNFORWARDED_BYTES = 64 * 1024

        /** Unsent bytes to the caller above which reading from the endpoint pauses. */
        const val MAX_UNSENT_BYTES = 512L * 1024

        /** The same while the unsent bytes to all callers are many. */
        const val MIN_UNSENT_BYTES = 64L * 1024

        /**
         * Statuses that tell a caller that its request did not run. They must not reach the caller
         * unless the endpoint itself states that.
         */
        val notRunStatuses = setOf(408, 421, 429, 503)
    }
}
