/*
 * One attempt to serve a request at an endpoint: connects, writes the request with its remaining
 * time, and reads the response. Reports exactly one outcome unless it is abandoned. Silence does
 * not end it, but is reported, so that the control thread can decide.
 */
package org.gypsumroute.gateway.endpoints

import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import org.gypsumroute.api.AttemptId
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.EndpointStatement
import org.gypsumroute.api.ForwardTarget
import org.gypsumroute.api.Repetition
import org.gypsumroute.gateway.forwarding.ForwardExchange
import org.gypsumroute.gateway.forwarding.ForwardTraffic

/** An attempt. [deadline] is the moment at which the time of the request is over. */
internal class EndpointAttempt(
    val exchange: ForwardExchange,
    val id: AttemptId,
    val target: ForwardTarget,
    private val deadline: TimeMark,
    private val loop: EventLoop,
    private val traffic: ForwardTraffic
) {
    /** The connection in use, or null before there is one. */
    var connection: EndpointConnection? = null
        private set

    /** Reader of the response, or null before its head arrived. */
    var responseReader: ResponseReader? = null
        private set

    /** Whether the response began and then paused for longer than its limit. */
    var isStalled = false
        private set
    private var ended = false
    private var bytesSinceTimeout = 0L
    private var timeout: ScheduledFuture<*>? = null

    /**
     * Starts on an idle connection or on a new one, unless the caller turns out to have left before
     * the request is written.
     */
    fun start(connections: EndpointConnections) = traffic.afterReads {
        if (!ended) startNow(connections)
    }

    private fun startNow(connections: EndpointConnections) {
        val isFirstThere = exchange.usedAddresses.add(target.address)
        val idleConnection =
            if (isFirstThere) connections.takeIdle(target.address, maxIdle) else null
        if (idleConnection != null) {
            write(idleConnection)
            return
        }
        connections.open(target.address) { opened, cause ->
            when {
                ended -> opened?.close()
                opened == null -> finish(AttemptOutcome.NeverSent(cause))
                else -> traffic.afterReads { writeUnlessEnded(opened) }
            }
        }
    }

    private fun writeUnlessEnded(opened: EndpointConnection) {
        when {
            ended -> opened.close()
            opened.isUsable -> write(opened)
            else -> finish(AttemptOutcome.NeverSent("closed before the request was sent"))
        }
    }

    /** Stops without reporting an outcome and resets the connection to the endpoint. */
    fun abandon() {
        if (ended) return
        cleanUp()
        connection?.reset()
    }

    /** Called when the head of the response arrived. */
    fun responseStarted(response: HttpResponse, head: ResponseHead) {
        if (ended) return
        responseReader = ResponseReader(this, response, head, traffic)
        // The first byte of a stream is that of its first event.
        if (!target.streaming) restartTimeout()
    }

    /** Called with what the endpoint states of itself with a response. */
    fun endpointStated(statement: EndpointStatement) = traffic.endpointStated(target, statement)

    /** Called when the response has to be given up although it goes on. */
    fun responseRejected() {
        connection?.rejectResponse()
    }

    /** Called with each part of a response that is not a stream of events. */
    fun bytesReceived(count: Int) {
        bytesSinceTimeout += count
    }

    /** Whether a part of the response was sent to the caller, and more of it keeps arriving. */
    val isDelivering: Boolean get() = responseReader?.deliveryStarted == true && !isStalled

    /** Called when the response is complete; the connection may serve other attempts by then. */
    fun responseComplete() {
        if (ended) return
        finish(responseReader?.complete() ?: AttemptOutcome.Lost("no answer"))
    }

    /**
     * Called when the connection failed before the response was complete. [connectionLost] tells
     * whether the endpoint's side ended it.
     */
    fun responseBrokenOff(cause: String, connectionLost: Boolean) {
        if (ended) return
        val deliveryStarted = responseReader?.deliveryStarted == true
        finish(
            if (deliveryStarted) {
                AttemptOutcome.Broken(cause, connectionLost)
            } else {
                AttemptOutcome.Lost(cause, connectionLost)
            }
        )
    }

    /** Restarts the time limit; called after the head and after complete events of a stream. */
    fun restartTimeout() {
        timeout?.cancel(false)
        isStalled = false
        bytesSinceTimeout = 0
        startTimeout(target.gapLimit)
    }

    private val maxIdle: Duration
        get() =
            if (target.repetition == Repetition.AT_MOST_ONCE) MAX_IDLE_AT_MOST_ONCE else MAX_IDLE

    private fun write(opened: EndpointConnection) {
        val remaining = -deadline.elapsedNow()
        if (remaining < MIN_REMAINING) {
            opened.close()
            finish(AttemptOutcome.NeverSent("the time of the request is over"))
            return
        }
        val request = try {
            requestFor(remaining)
        } catch (exception: IllegalArgumentException) {
            // A header cannot be written. Nobody above handles it if the connection is a new one.
            opened.close()
            finish(AttemptOutcome.NeverSent("cannot be sent: ${exception.javaClass.simpleName}"))
            return
        }
        connection = opened
        startTimeout(target.firstByteLimit)
        opened.send(this, request)
    }

    private fun requestFor(remaining: Duration): FullHttpRequest {
        val headers = exchange.headers.toHeaders()
        for (field in traffic.codec.attemptHeaders(target, remaining)) {
            headers[field.name] = field.value
        }
        exchange.lastEventId?.let { headers[LAST_EVENT_ID_HEADER] = it }
        if (exchange.sendsContentLength) {
            headers[HttpHeaderNames.CONTENT_LENGTH] = exchange.body.readableBytes()
        }
        return DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(exchange.line.method),
            exchange.line.target,
            exchange.body.retainedDuplicate(),
            headers,
            EmptyHttpHeaders.INSTANCE
        )
    }

    private fun startTimeout(limit: Duration) {
        timeout =
            loop.schedule({ timeOut(limit) }, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun timeOut(limit: Duration) {
        if (ended) return
        // While the caller reads too slowly, the endpoint is not read from and cannot be judged.
        if (connection?.isReadingPaused == true || bytesSinceTimeout >= MIN_BYTES_PER_TIMEOUT) {
            restartTimeout()
            return
        }
        isStalled = responseReader?.deliveryStarted == true
        startTimeout(limit)
        traffic.attemptStalled(this)
    }

    private fun finish(outcome: AttemptOutcome) {
        cleanUp()
        traffic.attemptEnded(this, outcome)
    }

    private fun cleanUp() {
        ended = true
        timeout?.cancel(false)
        responseReader?.release()
        exchange.attempts.remove(this)
    }

    private companion object {
        const val LAST_EVENT_ID_HEADER = "Last-Event-Id"

        /**
         * Maximum idle time of a connection for requests that must not run twice. An endpoint is
         * unlikely to close a connection that it used this recently.
         */
        val MAX_IDLE_AT_MOST_ONCE = 500.milliseconds
        val MAX_IDLE = 10.seconds
        val MIN_REMAINING = 1.milliseconds

        /** With fewer bytes within a time limit, a response counts as silent. */
        const val MIN_BYTES_PER_TIMEOUT = 1024L
    }
}
