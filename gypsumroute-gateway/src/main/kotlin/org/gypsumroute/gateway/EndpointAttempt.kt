/*
 * One attempt to serve a request at an endpoint: connects, writes the request with the time that is
 * left, and reads the answer. Reports exactly one outcome unless it is abandoned.
 */
package org.gypsumroute.gateway

import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
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
import org.gypsumroute.api.ForwardTarget
import org.gypsumroute.api.Repetition

/** An attempt; [expires] is the end of the request's time. */
internal class EndpointAttempt(
    val exchange: ForwardExchange,
    val id: AttemptId,
    val target: ForwardTarget,
    private val expires: TimeMark,
    private val loop: EventLoop,
    private val traffic: ForwardTraffic
) {
    /** The connection in use once there is one. */
    var connection: EndpointConnection? = null
        private set

    /** Reads the answer once its head arrived. */
    var answer: AnswerReader? = null
        private set
    private var over = false
    private var watch: ScheduledFuture<*>? = null

    /** Begins on a kept connection or on a new one. */
    fun start(connections: EndpointConnections) {
        val longestIdle =
            if (target.repetition == Repetition.AT_MOST_ONCE) FRESH_IDLE else LONGEST_IDLE
        val kept = connections.takeIdle(target.address, longestIdle)
        if (kept != null) {
            write(kept)
            return
        }
        connections.open(target.address) { opened, cause ->
            when {
                over -> opened?.close()
                opened == null -> finish(AttemptOutcome.NeverSent(cause))
                else -> write(opened)
            }
        }
    }

    /** Stops without an outcome; the endpoint sees the connection close. */
    fun abandon() {
        if (over) return
        end()
        connection?.close()
    }

    /** The head of the answer arrived. */
    fun answerBegun(response: HttpResponse, head: AnswerHead) {
        if (over) return
        answer = AnswerReader(this, response, head, traffic)
        rearm()
    }

    /** The answer is complete; the connection is no longer this attempt's. */
    fun answerComplete() {
        if (over) return
        finish(answer?.complete() ?: AttemptOutcome.Lost("no answer"))
    }

    /** The connection ended before the answer did. */
    fun connectionLost(cause: String) {
        if (over) return
        val begun = answer?.passedOn == true
        finish(if (begun) AttemptOutcome.Broken(cause) else AttemptOutcome.Lost(cause))
    }

    /** Bytes of the answer came; the endpoint is alive. */
    fun rearm() {
        watch?.cancel(false)
        watchFor(target.gapLimit, "no further part of the answer within ${target.gapLimit}")
    }

    private fun write(opened: EndpointConnection) {
        val remaining = -expires.elapsedNow()
        if (remaining < SHORTEST_TIME) {
            opened.close()
            finish(AttemptOutcome.NeverSent("the time of the request is over"))
            return
        }
        connection = opened
        watchFor(target.firstByteLimit, "no answer within ${target.firstByteLimit}")
        opened.send(this, requestFor(remaining))
    }

    private fun requestFor(remaining: Duration): FullHttpRequest {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        headers.add(exchange.headers)
        for (field in traffic.codec.attemptHeaders(target, remaining)) {
            headers[field.name] = field.value
        }
        exchange.lastEventId?.let { headers[LAST_EVENT_ID] = it }
        if (exchange.hadBody) {
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

    private fun watchFor(limit: Duration, cause: String) {
        watch = loop.schedule({ giveUp(cause) }, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun giveUp(cause: String) {
        if (over) return
        connection?.close()
        connectionLost(cause)
    }

    private fun finish(outcome: AttemptOutcome) {
        end()
        traffic.attemptEnded(this, outcome)
    }

    private fun end() {
        over = true
        watch?.cancel(false)
        answer?.release()
        if (exchange.attempt === this) exchange.attempt = null
    }

    private companion object {
        const val LAST_EVENT_ID = "Last-Event-Id"

        /** A connection that was just used is unlikely to be closed by the endpoint now. */
        val FRESH_IDLE = 500.milliseconds
        val LONGEST_IDLE = 10.seconds
        val SHORTEST_TIME = 1.milliseconds
    }
}
