/*
 * All requests that this entry holds, and the effects on them.
 *
 * A front end opens an exchange for each request, waits on it and closes it. It needs nothing else
 * of this module, so that another front end can take the place of org.gypsumroute.entry.http.
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
    private val connections: (ConnectionId) -> PeerConnection?
) {
    private val byRequest = ConcurrentHashMap<RequestId, Exchange>()
    private val byLease = ConcurrentHashMap<LeaseId, Exchange>()

    /** Requests in progress. */
    val size: Int get() = byRequest.size

    /** Registers a new request; null if another one with this id is in progress. */
    fun open(request: RequestId): Exchange? {
        val exchange = Exchange(request, events)
        return if (byRequest.putIfAbsent(request, exchange) == null) exchange else null
    }

    /** Frees a request that the front end has finished with. */
    fun close(exchange: Exchange) {
        byRequest.remove(exchange.request, exchange)
        exchange.finish()
        exchange.leases.forEach { byLease.remove(it) }
    }

    /** Carries out an effect; effects on requests that are gone have no consequence. */
    fun execute(effect: CallerEffect) {
        when (effect) {
            is CallerEffect.AcceptBody -> byRequest[effect.request]?.acceptBody()

            is CallerEffect.Fail -> byRequest[effect.request]?.let { fail(it, effect) }

            is CallerEffect.AnswerActionKey -> byRequest[effect.request]?.answerKey(effect)

            is CallerEffect.Upload -> byRequest[effect.request]?.let { upload(it, effect) }

            is CallerEffect.ReadAnswer -> byRequest[effect.request]?.let {
                follow(it, effect.lease)
                effect.outputLimit?.let { limit -> it.answer.limitTo(limit) }
            }

            is CallerEffect.ResumeAnswer -> byRequest[effect.request]?.let { resume(it, effect) }

            // The front end closes the exchange when the caller took the answer or left.
            is CallerEffect.Forget -> Unit
        }
    }

    /** Takes a data frame of an answer; frames of unknown leases are dropped. */
    fun receive(connection: PeerConnection, frame: DataFrame) {
        val exchange = byLease[frame.lease] ?: return
        when (frame) {
            is DataFrame.AnswerChunk -> exchange.answer.accept(frame)?.let { next ->
                send(connection, DataFrame.AnswerAcknowledge(frame.lease, next))
            }

            is DataFrame.AnswerEnd -> exchange.answer.accept(frame)

            else -> Unit
        }
        // Nothing is uploaded again once the answer is here, however slowly the caller reads it.
        if (exchange.answer.isWhole) exchange.releaseBody()
    }

    private fun fail(exchange: Exchange, effect: CallerEffect.Fail) {
        exchange.fail(effect.failure)
        scope.launch {
            val ended = withTimeoutOrNull(STUCK_WRITE) { exchange.finished.await() }
            if (ended == null) exchange.writer?.cancel()
        }
    }

    private fun follow(exchange: Exchange, lease: LeaseId) {
        exchange.answer.follow(lease)
        exchange.leases.add(lease)
        byLease[lease] = exchange
        if (exchange.finished.isCompleted) byLease.remove(lease, exchange)
    }

    private fun upload(exchange: Exchange, effect: CallerEffect.Upload) {
        val connection = connections(effect.connection) ?: return
        val segment = effect.segment
        val generates = segment == null || segment.index == segment.members - 1
        // The text to continue from must not grow after the upload has copied it.
        if (generates) follow(exchange, effect.lease)
        val job = scope.launch(start = CoroutineStart.LAZY) {
            val body = segment?.let { segmentOf(exchange.body, it) } ?: exchange.body
            val continued = if (generates) exchange.answer.textBefore(effect.lease) else NO_BYTES
            sendBody(connection, effect.lease, body, continued)
        }
        exchange.replaceUpload(job)
        job.start()
    }

    private fun resume(exchange: Exchange, effect: CallerEffect.ResumeAnswer) {
        val next = exchange.answer.nextSequence(effect.lease) ?: return
        val connection = connections(effect.connection) ?: return
        send(connection, DataFrame.AnswerResume(effect.lease, next))
    }

    private fun send(connection: PeerConnection, frame: DataFrame) {
        scope.launch { sendOrDrop(connection, frame) }
    }

    private fun Exchange.answerKey(effect: CallerEffect.AnswerActionKey) {
        actionKey.complete(effect.key.right())
    }

    private companion object {
        // Time for the writer to notice a failure before it counts as stuck on a full socket.
        val STUCK_WRITE = 1.seconds
        val NO_BYTES = ByteArray(0)
    }
}

/** Sends a frame. A closed connection is no error here: the reducer learns of it and resumes. */
internal suspend fun sendOrDrop(connection: PeerConnection, frame: DataFrame): Boolean = try {
    connection.sendData(frame)
    true
} catch (closed: IOException) {
    false
}
