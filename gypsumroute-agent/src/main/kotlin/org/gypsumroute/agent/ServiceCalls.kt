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

/**
 * Calls to the plain service beside this agent. Each call is made once and is not cancelled with
 * its lease; only the client's timeouts limit it.
 */
internal class ServiceCalls(
    private val client: PlainServiceClient,
    private val scope: CoroutineScope,
    private val events: EventSink
) : AutoCloseable {
    fun call(effect: EngineEffect.CallService, traffic: LeaseTraffic) {
        val body = traffic.body.parts()
        scope.launch {
            when (val outcome = client.call(effect.path, body)) {
                is Either.Left -> {
                    val failure = outcome.value
                    events(EngineEvent.CallFailed(effect.lease, failure.reached, failure.cause))
                }

                is Either.Right -> storeAnswer(effect.lease, traffic, outcome.value)
            }
            traffic.body.release()
        }
    }

    override fun close() = client.close()

    private fun storeAnswer(lease: LeaseId, traffic: LeaseTraffic, answer: PlainServiceResponse) {
        for (start in answer.body.indices step MAX_CHUNK_BYTES) {
            val end = minOf(start + MAX_CHUNK_BYTES, answer.body.size)
            traffic.answer.add(answer.body.copyOfRange(start, end), Tokens.ZERO)
        }
        traffic.answer.finish("stop", answer.status, answer.contentType ?: DEFAULT_CONTENT_TYPE)
        events(EngineEvent.CallEnded(lease, answer.status))
    }

    private companion object {
        const val MAX_CHUNK_BYTES = 32 * 1024
        const val DEFAULT_CONTENT_TYPE = "application/octet-stream"
    }
}
