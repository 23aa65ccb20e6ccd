/*
 * Calls to the model engine beside this agent. Their outcomes are reported as events, on which the
 * reducer decides.
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

/** All functions return at once; the outcomes are reported on other threads. */
internal class EngineCalls(
    private val client: EngineClient,
    private val scope: CoroutineScope,
    private val events: EventSink,
    private val timeSource: TimeSource
) : AutoCloseable {
    fun open(effect: EngineEffect.OpenStream, traffic: LeaseTraffic) = startStream(
        EngineStreamRequest(
            lease = effect.lease,
            prompt = traffic.body.parts(),
            outputLimit = effect.outputLimit,
            priority = effect.priority,
            imports = effect.imports
        ),
        traffic
    )

    fun prefill(effect: EngineEffect.PrefillSegment, traffic: LeaseTraffic) = startStream(
        EngineStreamRequest(
            lease = effect.lease,
            prompt = traffic.body.parts(),
            outputLimit = Tokens.ZERO,
            priority = effect.priority,
            imports = effect.imports,
            export = true
        ),
        traffic
    )

    fun cancel(lease: LeaseId) {
        scope.launch {
            // If the call fails, the reducer repeats it after its next read of the engine's state.
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

    private fun startStream(request: EngineStreamRequest, traffic: LeaseTraffic) {
        val reader = StreamReader(request, traffic, timeSource.markNow())
        traffic.stopReadingWith(client.open(request, reader::onEvent)::stopReading)
    }

    /** Handles the events of one stream from its opening to its end, on the client's threads. */
    private inner class StreamReader(
        private val request: EngineStreamRequest,
        private val traffic: LeaseTraffic,
        private val openedAt: TimeMark
    ) {
        private val lease = request.lease
        private var nextChunk = 0

        // The chunk from which the stream was last resumed; -1 if it never was.
        private var lastResumedChunk = -1

        fun onEvent(event: EngineStreamEvent) {
            if (traffic.isAbandoned) return
            traffic.body.release()
            when (event) {
                is EngineStreamEvent.Chunk -> addChunk(event)

                is EngineStreamEvent.Ended -> {
                    val limitReached = event.tokens >= request.outputLimit
                    val finishReason = if (limitReached) "length" else "stop"
                    traffic.answer.finish(finishReason, STATUS_OK, TEXT_TYPE)
                    events(EngineEvent.StreamEnded(lease, event.tokens))
                }

                is EngineStreamEvent.Exported ->
                    events(EngineEvent.SegmentExported(lease, event.handle, openedAt.elapsedNow()))

                is EngineStreamEvent.Failed -> handleFailure(event.failure)
            }
        }

        private fun addChunk(chunk: EngineStreamEvent.Chunk) {
            if (chunk.number != nextChunk) return
            if (nextChunk++ == 0) events(EngineEvent.FirstToken(lease, openedAt.elapsedNow()))
            traffic.answer.add(chunk.text, chunk.tokens)
        }

        // A broken stream is resumed at the next missing chunk. It fails instead if no chunk
        // arrived since it was opened or last resumed.
        private fun handleFailure(failure: ClientFailure) {
            if (
                failure is ClientFailure.Broken && nextChunk > lastResumedChunk && nextChunk > 0
            ) {
                lastResumedChunk = nextChunk
                traffic.stopReadingWith(client.resume(lease, nextChunk, ::onEvent)::stopReading)
                return
            }
            val refusedBeforeStart = failure is ClientFailure.ErrorStatus &&
                lastResumedChunk < 0 && failure.status in STATUSES_BEFORE_START
            val reached = failure.reached && !refusedBeforeStart
            events(EngineEvent.StreamFailed(lease, reached, failure.cause))
        }
    }

    private companion object {
        const val STATUS_OK = 200
        const val TEXT_TYPE = "text/plain"

        // With these statuses the engine refuses a stream before it starts any work on it: 424 if a
        // handle cannot be imported, 429 for too many requests, 503 if it is not ready.
        val STATUSES_BEFORE_START = setOf(424, 429, 503)
    }
}
