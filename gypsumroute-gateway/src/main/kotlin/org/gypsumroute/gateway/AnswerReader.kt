/*
 * Reads one answer of an endpoint. Streams are passed on event by event; other answers once they
 * are complete, so that a broken one can be replaced by another attempt.
 */
package org.gypsumroute.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import org.gypsumroute.api.AttemptOutcome

/** Collects or passes on the answer that [response] begins. */
internal class AnswerReader(
    private val attempt: EndpointAttempt,
    response: HttpResponse,
    private val head: AnswerHead,
    private val traffic: ForwardTraffic
) {
    private val status: HttpResponseStatus = response.status()
    private val headers: HttpHeaders = passedOn(response.headers())
    private val exchange = attempt.exchange
    private val success = status.codeClass() == HttpStatusClass.SUCCESS && head.signed
    private val events = if (success && attempt.target.streaming) EventSplitter() else null
    private val collected: ByteBuf = Unpooled.buffer(0)
    private var relaying = false
    private var lastPassed: TimeMark? = null
    private var longestPause = Duration.ZERO

    /** Whether the caller got a part of this answer. */
    var passedOn = false
        private set

    /** Adds bytes of the body. */
    fun add(bytes: ByteBuf) {
        when {
            events != null -> events.add(bytes)?.let { passEvents(events, it) }

            relaying -> exchange.caller.pass(bytes.retainedSlice())

            else -> {
                collected.writeBytes(bytes)
                if (collected.readableBytes() > MOST_COLLECTED && success) beginRelay()
            }
        }
    }

    /** Called after each read from the endpoint's connection. */
    fun flush() {
        if (exchange.caller.unsentBytes > MOST_UNSENT) attempt.connection?.pauseReading()
    }

    /** Ends the answer, whose last byte arrived. */
    fun complete(): AttemptOutcome {
        val code = status.code()
        return when {
            events != null -> completeStream(events)
            relaying -> AttemptOutcome.Completed(code, longestPause).also { exchange.caller.end() }
            success -> completeAnswer()
            head.notRun -> AttemptOutcome.NotRun(code, head.misdirected, head.faultyAddress)
            status.codeClass() == HttpStatusClass.SUCCESS -> AttemptOutcome.Lost("unsigned answer")
            code in promises -> AttemptOutcome.Lost("endpoint answered $code without a promise")
            else -> hold()
        }
    }

    /** Frees what is held. */
    fun release() {
        events?.release()
        collected.release()
    }

    private fun completeStream(splitter: EventSplitter): AttemptOutcome = when {
        splitter.holdsPart && passedOn -> AttemptOutcome.Broken("stream ended inside an event")

        splitter.holdsPart -> AttemptOutcome.Lost("stream ended inside an event")

        else -> {
            begin()
            exchange.caller.end()
            AttemptOutcome.Completed(status.code(), longestPause)
        }
    }

    private fun completeAnswer(): AttemptOutcome {
        exchange.begun = true
        exchange.caller.answer(status, headers, collected.retainedSlice())
        return AttemptOutcome.Completed(status.code(), longestPause)
    }

    private fun hold(): AttemptOutcome {
        exchange.held?.body?.release()
        exchange.held = HeldAnswer(status.code(), headers, collected.retainedSlice())
        return AttemptOutcome.Failed(status.code())
    }

    private fun passEvents(splitter: EventSplitter, complete: ByteBuf) {
        val first = !passedOn
        begin()
        passedOn = true
        exchange.lastEventId = splitter.lastEventId ?: exchange.lastEventId
        exchange.caller.pass(complete)
        notePause()
        attempt.rearm()
        if (first) traffic.streamBegun(attempt)
    }

    private fun notePause() {
        lastPassed?.let { longestPause = maxOf(longestPause, it.elapsedNow()) }
        lastPassed = TimeSource.Monotonic.markNow()
    }

    private fun beginRelay() {
        relaying = true
        passedOn = true
        begin()
        exchange.caller.pass(collected.retainedSlice())
        traffic.streamBegun(attempt)
    }

    private fun begin() {
        if (exchange.begun) return
        exchange.begun = true
        exchange.caller.begin(status, headers)
    }

    private companion object {
        /** Larger answers are passed on as they come. */
        const val MOST_COLLECTED = 1024 * 1024

        /** Bytes that a slow caller may leave unread before its endpoint is slowed down too. */
        const val MOST_UNSENT = 512L * 1024

        /** Statuses that tell a caller that its request did not run. */
        val promises = setOf(408, 421, 429, 503)
    }
}
