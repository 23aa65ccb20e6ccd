/*
 * Calls to the model engine beside this agent. Their outcomes become events; nothing is decided.
 */
package org.gypsumroute.agent

import arrow.core.Either
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Tokens
import org.gypsumroute.clients.ClientFailure
import org.gypsumroute.clients.EngineClient
import org.gypsumroute.clients.EngineStreamEvent
import org.gypsumroute.clients.EngineStreamRequest
import org.gypsumroute.runtime.EventSink

/** All functions return at once; a client's threads call back. */
internal class EngineCalls(
    private val client: EngineClient,
    private val scope: CoroutineScope,
    private val events: EventSink,
    private val timeSource: TimeSource
) : AutoCloseable {
    fun open(effect: EngineEffect.OpenStream, work: LeaseWork) = read(
        EngineStreamRequest(
            lease = effect.lease,
            prompt = work.body.parts(),
            outputLimit = effect.outputLimit,
            priority = effect.priority,
            imports = effect.imports
        ),
        work
    )

    fun prefill(effect: EngineEffect.PrefillSegment, work: LeaseWork) = read(
        EngineStreamRequest(
            lease = effect.lease,
            prompt = work.body.parts(),
            outputLimit = Tokens.ZERO,
            priority = effect.priority,
            imports = effect.imports,
            export = true
        ),
        work
    )

    fun cancel(lease: LeaseId) {
        scope.launch {
            // A lost cancel is repeated by the reducer when it next compares with the engine.
            client.cancel(lease).onRight { events(EngineEvent.CancelConfirmed(lease)) }
        }
    }

    fun release(handle: HandleId) {
        scope.launch {
            client.release(handle).onRight { events(EngineEvent.HandleReleased(handle)) }
        }
    }

    fun readState() {
        scope.launch {
            val event = when (val report = client.readState()) {
                is Either.Left -> EngineEvent.Unreachable(report.value.cause)
                is Either.Right -> EngineEvent.StateRead(report.value.state)
            }
            events(event)
        }
    }

    fun load(effect: EngineEffect.LoadModel) {
        scope.launch {
            val answer = client.load(effect.model, effect.fencing)
            val cause = answer.leftOrNull()?.cause.orEmpty()
            events(EngineEvent.OrderAnswered(effect.fencing, answer.isRight(), cause))
        }
    }

    override fun close() = client.close()

    private fun read(request: EngineStreamRequest, work: LeaseWork) {
        val reading = StreamReading(request, work, timeSource.markNow())
        work.reads(client.open(request, reading::take)::stopReading)
    }

    /** One stream from its opening to its end, on the client's threads. */
    private inner class StreamReading(
        private val request: EngineStreamRequest,
        private val work: LeaseWork,
        private val openedAt: TimeMark
    ) {
        private val lease = request.lease
        private var chunks = 0
        private var resumedAt = -1

        fun take(event: EngineStreamEvent) {
            if (work.isAbandoned) return
            work.body.release()
            when (event) {
                is EngineStreamEvent.Chunk -> takeChunk(event)

                is EngineStreamEvent.Ended -> {
                    val limited = event.tokens >= request.outputLimit
                    work.answer.finish(if (limited) "length" else "stop", STATUS_OK, TEXT_TYPE)
                    events(EngineEvent.StreamEnded(lease, event.tokens))
                }

                is EngineStreamEvent.Exported ->
                    events(EngineEvent.SegmentExported(lease, event.handle, openedAt.elapsedNow()))

                is EngineStreamEvent.Failed -> fail(event.failure)
            }
        }

        private fun takeChunk(chunk: EngineStreamEvent.Chunk) {
            if (chunk.number != chunks) return
            if (chunks++ == 0) events(EngineEvent.FirstToken(lease, openedAt.elapsedNow()))
            work.answer.add(chunk.text, chunk.tokens)
        }

        // A broken stream is read on from where it broke, once for each place.
        private fun fail(failure: ClientFailure) {
            if (failure is ClientFailure.Broken && chunks > resumedAt && chunks > 0) {
                resumedAt = chunks
                work.reads(client.resume(lease, chunks, ::take)::stopReading)
                return
            }
            val refusedUnseen = failure is ClientFailure.ErrorStatus &&
                resumedAt < 0 && failure.status in REFUSED_BEFORE_START
            val reached = failure.reached && !refusedUnseen
            events(EngineEvent.StreamFailed(lease, reached, failure.cause))
        }
    }

    private companion object {
        const val STATUS_OK = 200
        const val TEXT_TYPE = "text/plain"

        // Not ready, too many requests, handle not importable: the engine has not begun.
        val REFUSED_BEFORE_START = setOf(424, 429, 503)
    }
}
