package org.gypsumroute.agent

import arrow.core.Either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Tokens
import org.gypsumroute.clients.PlainServiceClient
import org.gypsumroute.clients.PlainServiceResponse
import org.gypsumroute.runtime.EventSink

/** Calls to the plain service beside this agent; each is made once and never given up. */
internal class ServiceCalls(
    private val client: PlainServiceClient,
    private val scope: CoroutineScope,
    private val events: EventSink
) : AutoCloseable {
    fun call(effect: EngineEffect.CallService, work: LeaseWork) {
        val body = work.body.parts()
        scope.launch {
            when (val outcome = client.call(effect.path, body)) {
                is Either.Left -> {
                    val failure = outcome.value
                    events(EngineEvent.CallFailed(effect.lease, failure.reached, failure.cause))
                }

                is Either.Right -> keep(effect.lease, work, outcome.value)
            }
            work.body.release()
        }
    }

    override fun close() = client.close()

    private fun keep(lease: LeaseId, work: LeaseWork, answer: PlainServiceResponse) {
        for (start in answer.body.indices step PART_BYTES) {
            val end = minOf(start + PART_BYTES, answer.body.size)
            work.answer.add(answer.body.copyOfRange(start, end), Tokens.ZERO)
        }
        work.answer.finish("stop", answer.status, answer.contentType ?: DEFAULT_TYPE)
        events(EngineEvent.CallEnded(lease, answer.status))
    }

    private companion object {
        const val PART_BYTES = 32 * 1024
        const val DEFAULT_TYPE = "application/octet-stream"
    }
}
