/*
 * The traffic of a gateway: callers' requests and the attempts to serve them at endpoints.
 * Everything here runs on one event loop and therefore needs no locks.
 */
package org.gypsumroute.gateway.forwarding

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerDropCause
import org.gypsumroute.api.CallerLimits
import org.gypsumroute.api.EndpointStatement
import org.gypsumroute.api.Failure
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.ForwardTarget
import org.gypsumroute.api.RequestHead
import org.gypsumroute.api.RequestId
import org.gypsumroute.gateway.callers.CallerConnection
import org.gypsumroute.gateway.callers.CallerServer
import org.gypsumroute.gateway.callers.ReceivedRequest
import org.gypsumroute.gateway.callers.RequestMemory
import org.gypsumroute.gateway.endpoints.AnswerMemoryBudget
import org.gypsumroute.gateway.endpoints.EndpointAttempt
import org.gypsumroute.gateway.endpoints.EndpointConnections
import org.gypsumroute.runtime.EventSink

/** Executes [ForwardEffect]s and emits [ForwardEvent]s. */
internal class ForwardTraffic(
    private val loop: EventLoopGroup,
    val codec: ForwardCodec,
    private val maxCallers: Int,
    /** Memory budgets of the requests that are being received or served. */
    val memory: RequestMemory,
    private val emit: EventSink
) {
    private val exchanges = HashMap<RequestId, ForwardExchange>()
    private val connections = EndpointConnections(loop, codec) { address, input ->
        emit(ForwardEvent.InputDropped(address, input))
    }
    private val server = CallerServer(loop, this)
    private var nextRequest = 0L

    /** What [whenCallersServed] is to call, or null. */
    private var onCallersServed: (() -> Unit)? = null

    /** Open connections of callers. */
    val callers = HashSet<CallerConnection>()

    /** Memory budget of the answers that are kept until they are complete. */
    val answerMemory = AnswerMemoryBudget(memory.maxAnswerBytes)

    /** Whether the answers that callers have not read yet take too much memory together. */
    val callersAreSlow: Boolean
        get() = callers.sumOf { it.unsentBytes } > memory.slowUnsentBytes

    /** Limits on callers' requests. */
    @Volatile
    var limits = DEFAULT_LIMITS
        private set

    /** Whether the connection is closed after each response, because the gateway drains. */
    @Volatile
    var draining = false
        private set

    /** Starts listening for callers and returns the bound address. */
    fun listen(address: InetSocketAddress): InetSocketAddress = server.start(address)

    /** Executes an effect on the event loop; returns immediately. */
    fun execute(effect: ForwardEffect) {
        val receivedAt = TimeSource.Monotonic.markNow()
        loop.execute { executeSafely(effect, receivedAt) }
    }

    /** Sends `Connection: close` with each response from now on. */
    fun drain() {
        draining = true
    }

    /**
     * Closes the port and calls [action] once all callers have their complete answers, or after
     * [limit]. Connections that were accepted before are answered, also if their request is still
     * arriving; one that has not arrived completely by then is refused.
     */
    fun whenCallersServed(limit: Duration, action: () -> Unit) = loop.execute {
        server.stop()
        callers.toList().forEach { it.closeIfIdle() }
        onCallersServed = action
        if (callers.isEmpty()) finishServing()
        loop.schedule(::endServing, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun endServing() {
        callers.toList().forEach { it.refuseIncomplete() }
        finishServing()
    }

    /**
     * Executes an effect. A failure ends the request, because nobody else would answer its caller.
     */
    private fun executeSafely(effect: ForwardEffect, receivedAt: TimeMark) = try {
        executeOnLoop(effect, receivedAt)
    } catch (exception: RuntimeException) {
        onFailure(effect, exception)
    }

    private fun executeOnLoop(effect: ForwardEffect, receivedAt: TimeMark) {
        when (effect) {
            is ForwardEffect.Send -> send(effect, receivedAt)

            is ForwardEffect.RelayFailure -> relayFailure(effect.request)

            is ForwardEffect.Refuse -> answer(effect.request) { it.caller.refuse(effect.failure) }

            is ForwardEffect.Cut -> closeExchange(effect.request)?.caller?.abortResponse()

            is ForwardEffect.Abandon ->
                exchanges[effect.request]?.attempts?.find { it.id == effect.attempt }?.abandon()

            is ForwardEffect.CloseConnections -> connections.closeIdle(effect.address)

            is ForwardEffect.SetCallerLimits -> limits = effect.limits

            is ForwardEffect.CloseIdleCallers -> callers.toList().forEach { it.closeIfIdle() }
        }
    }

    /**
     * Runs [action] on the event loop once all sockets that have input were read. What came in on
     * them before, such as a caller's close, is known by then. A scheduled task never runs before
     * the loop's next pass over the sockets, or the end of the current one.
     */
    fun afterReads(action: () -> Unit) {
        loop.schedule(action, 0, TimeUnit.MILLISECONDS)
    }

    /** Registers a complete request and emits its arrival. */
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
            received = received,
            sendsContentLength =
                received.body.isReadable || received.line.method !in BODILESS_METHODS
        )
        exchanges[exchange.request] = exchange
        emit(
            ForwardEvent.Arrived(
                exchange.request,
                received.head,
                Bytes(received.body.readableBytes().toLong())
            )
        )
        return exchange
    }

    /** Called when a caller opened a connection. If there are too many, an idle one is closed. */
    fun callerConnected(caller: CallerConnection) {
        callers.add(caller)
        if (callers.size <= maxCallers) return
        val longestIdle = callers.filter { it.isIdle }.minByOrNull { it.idleSince }
        drop(longestIdle ?: caller, CallerDropCause.TOO_MANY_CONNECTIONS)
    }

    /** Closes connections of slow readers while the unsent answers take too much memory. */
    fun limitUnsent() {
        while (callers.sumOf { it.unsentBytes } > memory.maxUnsentBytes) {
            val slowest = callers.maxBy { it.unsentBytes }
            drop(slowest, CallerDropCause.UNREAD_ANSWERS)
        }
    }

    private fun drop(caller: CallerConnection, cause: CallerDropCause) {
        callers.remove(caller)
        caller.drop()
        emit(ForwardEvent.CallerDropped(cause))
    }

    /** Called when a caller's connection closed. */
    fun callerClosed(caller: CallerConnection) {
        callers.remove(caller)
        if (callers.isEmpty()) finishServing()
    }

    private fun finishServing() {
        val action = onCallersServed ?: return
        onCallersServed = null
        action()
    }

    /** Called when the caller's connection closed before the response was complete. */
    fun callerDisconnected(exchange: ForwardExchange) {
        if (exchanges[exchange.request] !== exchange) return
        closeExchange(exchange.request)
        emit(ForwardEvent.CallerLeft(exchange.request))
    }

    /** Called when a caller left before its complete request was passed on. */
    fun requestWithdrawn(head: RequestHead) {
        emit(ForwardEvent.Withdrawn(head))
    }

    /** Called when a connection refused a request before it was completely received. */
    fun requestRejected(failure: Failure) {
        emit(ForwardEvent.Rejected(failure))
    }

    fun streamStarted(attempt: EndpointAttempt) =
        emit(ForwardEvent.StreamBegun(attempt.exchange.request, attempt.id))

    fun endpointStated(target: ForwardTarget, statement: EndpointStatement) =
        emit(ForwardEvent.EndpointStated(target.endpoint, target.startedAt, statement))

    fun attemptStalled(attempt: EndpointAttempt) =
        emit(ForwardEvent.AttemptStalled(attempt.exchange.request, attempt.id))

    /**
     * Called before an attempt delivers a part of the answer. Stops the other attempts, so that the
     * answer is never joined from two of them without a resumption in between.
     */
    fun takeOver(attempt: EndpointAttempt) {
        val others = attempt.exchange.attempts.filter { it !== attempt }
        if (others.isEmpty()) return
        others.forEach { it.abandon() }
        emit(ForwardEvent.AttemptTookOver(attempt.exchange.request, attempt.id))
    }

    fun attemptEnded(attempt: EndpointAttempt, outcome: AttemptOutcome) {
        val request = attempt.exchange.request
        if (outcome is AttemptOutcome.Completed) closeExchange(request)
        emit(ForwardEvent.AttemptEnded(request, attempt.id, outcome))
    }

    private fun onFailure(effect: ForwardEffect, exception: RuntimeException) {
        val send = effect as? ForwardEffect.Send
        if (send == null) {
            answeredRequestOf(effect)?.let { closeExchange(it)?.caller?.abortResponse() }
            throw exception
        }
        exchanges[send.request]?.attempts?.find { it.id == send.attempt }?.abandon()
        emit(
            ForwardEvent.AttemptEnded(
                send.request,
                send.attempt,
                AttemptOutcome.NeverSent("cannot be sent: ${exception.javaClass.simpleName}")
            )
        )
    }

    /** The request that an effect ends, or null if it ends none. */
    private fun answeredRequestOf(effect: ForwardEffect): RequestId? = when (effect) {
        is ForwardEffect.RelayFailure -> effect.request
        is ForwardEffect.Refuse -> effect.request
        is ForwardEffect.Cut -> effect.request
        else -> null
    }

    private fun send(effect: ForwardEffect.Send, receivedAt: TimeMark) {
        val exchange = exchanges[effect.request] ?: return
        val delivering = exchange.attempts.find { it.isDelivering }
        if (delivering != null) {
            // The attempt that seemed stalled went on before it could be replaced.
            emit(ForwardEvent.AttemptTookOver(effect.request, delivering.id))
            return
        }
        val attempt = EndpointAttempt(
            exchange,
            effect.attempt,
            effect.target,
            receivedAt + effect.target.remaining,
            loop.next() as EventLoop,
            this
        )
        exchange.attempts += attempt
        attempt.start(connections)
    }

    private fun relayFailure(request: RequestId) = answer(request) { exchange ->
        exchange.failureResponse?.let { failure ->
            val status = HttpResponseStatus.valueOf(failure.status)
            exchange.caller.sendResponse(status, failure.headers, failure.body.retain())
        }
    }

    /**
     * Ends a request with what [send] sends as its whole answer. Breaks the answer off if it has
     * begun, of which the control thread may not have heard when it decided to send another.
     */
    private fun answer(request: RequestId, send: (ForwardExchange) -> Unit) {
        val exchange = exchanges[request] ?: return
        if (exchange.responseStarted) exchange.caller.abortResponse() else send(exchange)
        closeExchange(request)
    }

    private fun closeExchange(request: RequestId): ForwardExchange? =
        exchanges.remove(request)?.also { exchange ->
            exchange.attempts.toList().forEach { it.abandon() }
            exchange.release()
        }

    private companion object {
        val BODILESS_METHODS =
            setOf(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.OPTIONS, HttpMethod.TRACE)
                .map { it.name() }

        /** Limits until the first routing table has been read. */
        val DEFAULT_LIMITS = CallerLimits(16 * 1024, 4 * 1024 * 1024, 3.seconds, 15.seconds)
    }
}
