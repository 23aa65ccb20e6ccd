/*
 * The traffic of a gateway: callers' requests, attempts at endpoints and what passes between them.
 * Everything here runs on one event loop, so nothing is locked.
 */
package org.gypsumroute.gateway

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerLimits
import org.gypsumroute.api.Failure
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.RequestId
import org.gypsumroute.runtime.EventSink

/** Carries out [ForwardEffect]s and reports [ForwardEvent]s. */
internal class ForwardTraffic(
    private val loop: EventLoopGroup,
    val codec: ForwardCodec,
    private val events: EventSink
) {
    private val exchanges = HashMap<RequestId, ForwardExchange>()
    private val connections = EndpointConnections(loop, codec)
    private val server = CallerServer(loop, this)
    private var nextRequest = 0L

    /** Open callers' connections. */
    val callers = HashSet<CallerConnection>()

    /** Bodies of requests that are received or served. */
    val heldBodies = HeldBodies(MOST_HELD_BYTES)

    /** What callers may send. */
    @Volatile
    var limits = DEFAULT_LIMITS
        private set

    /** Whether answers end their connections. */
    @Volatile
    var draining = false
        private set

    /** Listens for callers and returns the address in use. */
    fun listen(address: InetSocketAddress): InetSocketAddress = server.start(address)

    /** Carries out an effect; returns at once. */
    fun execute(effect: ForwardEffect) {
        val taken = TimeSource.Monotonic.markNow()
        loop.execute { carryOut(effect, taken) }
    }

    /** Answers with `Connection: close` from now on. */
    fun drain() {
        draining = true
    }

    private fun carryOut(effect: ForwardEffect, taken: TimeMark) {
        when (effect) {
            is ForwardEffect.Send -> send(effect, taken)

            is ForwardEffect.RelayFailure -> relayFailure(effect.request)

            is ForwardEffect.Refuse -> close(effect.request)?.caller?.refuse(effect.failure)

            is ForwardEffect.Cut -> close(effect.request)?.caller?.cut()

            is ForwardEffect.Abandon ->
                exchanges[effect.request]?.attempt?.takeIf { it.id == effect.attempt }?.abandon()

            is ForwardEffect.CloseConnections -> connections.closeIdle(effect.address)

            is ForwardEffect.SetCallerLimits -> limits = effect.limits

            is ForwardEffect.StopAccepting -> {
                server.stopAccepting()
                callers.toList().forEach { it.closeIfIdle() }
            }
        }
    }

    /** Takes over a complete request. */
    fun open(
        caller: CallerConnection,
        received: ReceivedRequest,
        version: HttpVersion
    ): ForwardExchange {
        val exchange = ForwardExchange(
            request = RequestId((nextRequest++).toString()),
            caller = caller,
            line = received.line,
            version = version,
            head = received.head,
            headers = passedOn(received.headers, codec.withheldHeaders),
            received = received,
            hadBody = received.body.isReadable || received.line.method !in BODILESS_METHODS
        )
        exchanges[exchange.request] = exchange
        events(
            ForwardEvent.Arrived(
                exchange.request,
                received.head,
                Bytes(received.body.readableBytes().toLong())
            )
        )
        return exchange
    }

    /** The caller's connection closed before the answer was complete. */
    fun callerLeft(exchange: ForwardExchange) {
        if (exchanges[exchange.request] !== exchange) return
        exchange.attempt?.abandon()
        close(exchange.request)
        events(ForwardEvent.CallerLeft(exchange.request))
    }

    /** A connection's request was refused before it was complete. */
    fun refusedAlone(failure: Failure) {
        events(ForwardEvent.Rejected(failure))
    }

    fun streamBegun(attempt: EndpointAttempt) =
        events(ForwardEvent.StreamBegun(attempt.exchange.request, attempt.id))

    fun attemptEnded(attempt: EndpointAttempt, outcome: AttemptOutcome) {
        val request = attempt.exchange.request
        if (outcome is AttemptOutcome.Completed) close(request)
        events(ForwardEvent.AttemptEnded(request, attempt.id, outcome))
    }

    private fun send(effect: ForwardEffect.Send, taken: TimeMark) {
        val exchange = exchanges[effect.request] ?: return
        val attempt = EndpointAttempt(
            exchange,
            effect.attempt,
            effect.target,
            taken + effect.target.remaining,
            loop.next() as EventLoop,
            this
        )
        exchange.attempt = attempt
        attempt.start(connections)
    }

    private fun relayFailure(request: RequestId) {
        val exchange = exchanges[request] ?: return
        val held = exchange.held ?: return
        val status = HttpResponseStatus.valueOf(held.status)
        exchange.caller.answer(status, held.headers, held.body.retain())
        close(request)
    }

    private fun close(request: RequestId): ForwardExchange? =
        exchanges.remove(request)?.also { it.release() }

    private companion object {
        val BODILESS_METHODS =
            setOf(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.OPTIONS, HttpMethod.TRACE)
                .map { it.name() }

        /** A quarter of the heap that the deploy file gives the process. */
        const val MOST_HELD_BYTES = 32L * 1024 * 1024

        /** In force until a routing table was read. */
        val DEFAULT_LIMITS = CallerLimits(16 * 1024, 4 * 1024 * 1024, 3.seconds, 15.seconds)
    }
}
