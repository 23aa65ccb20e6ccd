/*
 * The requests in progress at this entry, and the effects on them.
 *
 * A front end opens an exchange for each request, waits for its outcome and closes it. It needs
 * nothing else of this module, so that another front end can replace org.gypsumroute.entry.http.
 */
package org.gypsumroute.entry

import arrow.core.right
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.RequestId
import org.gypsumroute.runtime.EventSink
import org.gypsumroute.wire.DataFrame
import org.gypsumroute.wire.PeerConnection

/** Registry of the requests in progress; safe for use by any thread. */
internal class Exchanges(
    private val events: EventSink,
    private val scope: CoroutineScope,
    private val findConnection: (ConnectionId) -> PeerConnection?
) {
    private val byRequest = ConcurrentHashMap<RequestId, Exchange>()
    private val byLease = ConcurrentHashMap<LeaseId, Exchange>()

    /** Number of requests in progress. */
    val size: Int get() = byRequest.size

    /** Registers a new request; null if another one with this id is in progress. */
    fun open(request: RequestId): Exchange? {
        val exchange = Exchange(request, events, ::remove)
        return if (byRequest.putIfAbsent(request, exchange) == null) exchange else null
    }

    private fun remove(exchange: Exchange) {
        byRequest.remove(exchange.request, exchange)
        exchange.leases.forEach { byLease.remove(it) }
    }

    /** Carries out an effect; an effect on a request that is not in progress is ignored. */
    fun execute(effect: CallerEffect) {
        when (effect) {
            is CallerEffect.AcceptBody -> byRequest[effect.request]?.acceptBody()

            is CallerEffect.Fail -> byRequest[effect.request]?.let { fail(it, effect) }

            is CallerEffect.AnswerActionKey -> byRequest[effect.request]?.completeActionKey(effect)

            is CallerEffect.Upload -> byRequest[effect.request]?.let { upload(it, effect) }

            is CallerEffect.ReadAnswer -> byRequest[effect.request]?.let {
                registerLease(it, effect.lease)
                effect.outputLimit?.let { limit -> it.answer.limitOutput(limit) }
            }

            is CallerEffect.ResumeAnswer -> byRequest[effect.request]?.let { resume(it, effect) }

            // Nothing to do: the front end closes the exchange when the caller took the answer
            // or left.
            is CallerEffect.Forget -> Unit
        }
    }

    /** Receives a data frame of an answer; frames of unknown leases are dropped. */
    fun receive(connection: PeerConnection, frame: DataFrame) {
        val exchange = byLease[frame.lease] ?: return
        when (frame) {
            is DataFrame.AnswerChunk -> exchange.answer.accept(frame)?.let { nextSequence ->
                send(connection, DataFrame.AnswerAcknowledge(frame.lease, nextSequence))
            }

            is DataFrame.AnswerEnd -> exchange.answer.accept(frame)

            else -> Unit
        }
        // A complete answer needs no further upload, so the body is freed even if the caller has
        // not read the answer yet.
        if (exchange.answer.isFullyReceived) exchange.releaseBody()
    }

    private fun fail(exchange: Exchange, effect: CallerEffect.Fail) {
        exchange.fail(effect.failure)
        scope.launch {
            val closed = withTimeoutOrNull(FAILURE_WRITE_TIMEOUT) { exchange.finished.await() }
            if (closed == null) exchange.writer?.cancel()
        }
    }

    private fun registerLease(exchange: Exchange, lease: LeaseId) {
        exchange.answer.switchToLease(lease)
        exchange.leases.add(lease)
        byLease[lease] = exchange
        if (exchange.finished.isCompleted) byLease.remove(lease, exchange)
    }

    private fun upload(exchange: Exchange, effect: CallerEffect.Upload) {
        val connection = findConnection(effect.connection) ?: return
        val segment = effect.segment
        // Of a group, only the last member generates an answer; the others prefill their segments.
        val producesAnswer = segment == null || segment.index == segment.members - 1
        // Switches the lease before the upload copies the received text, so that late chunks of an
        // earlier lease cannot extend that text afterwards.
        if (producesAnswer) registerLease(exchange, effect.lease)
        val job = scope.launch(start = CoroutineStart.LAZY) {
            val body = segment?.let { segmentBody(exchange.body, it) } ?: exchange.body
            val receivedText =
                if (producesAnswer) exchange.answer.textBefore(effect.lease) else NO_BYTES
            sendBody(connection, effect.lease, body, receivedText)
        }
        exchange.replaceUpload(job)
        job.start()
    }

    private fun resume(exchange: Exchange, effect: CallerEffect.ResumeAnswer) {
        val nextSequence = exchange.answer.nextSequence(effect.lease) ?: return
        val connection = findConnection(effect.connection) ?: return
        send(connection, DataFrame.AnswerResume(effect.lease, nextSequence))
    }

    private fun send(connection: PeerConnection, frame: DataFrame) {
        scope.launch { sendIfOpen(connection, frame) }
    }

    private fun Exchange.completeActionKey(effect: CallerEffect.AnswerActionKey) {
        actionKey.complete(effect.key.right())
    }

    private companion object {
        // Time for the coroutine that serves the caller to write a failure; after that it counts as
        // stuck on a full socket.
        val FAILURE_WRITE_TIMEOUT = 1.seconds
        val NO_BYTES = ByteArray(0)
    }
}

/**
 * Sends a frame; false if the connection is closed. That is no error here, because the reducer gets
 * an event for the closed connection and resumes the work on another one.
 */
internal suspend fun sendIfOpen(connection: PeerConnection, frame: DataFrame): Boolean = try {
    connection.sendData(frame)
    true
} catch (closed: IOException) {
    false
}
