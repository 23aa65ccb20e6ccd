/*
 * Example of a front end embedded in a program: prompts are lines of text from the same process,
 * and a function takes the place of the only agent. It needs only gypsumroute-api and
 * gypsumroute-core.
 */
package org.gypsumroute.example

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AnswerEvent
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EndpointSummary
import org.gypsumroute.api.Failure
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PrefixDigest
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.NodeState
import org.gypsumroute.core.agent
import org.gypsumroute.core.failure
import org.gypsumroute.core.summary

/** Answers the prompts that the reducer admits and dispatches by calling [complete]. */
class LineFrontEnd(
    initial: NodeState,
    private val agent: HostRecord,
    private val summary: EndpointSummary,
    private val complete: (String) -> String
) {
    val loop: ReducerLoop = ReducerLoop(initial, ::carryOut)
    val answers = mutableMapOf<RequestId, String>()
    val refusals = mutableMapOf<RequestId, Failure>()
    private val prompts = mutableMapOf<RequestId, Prompt>()

    /**
     * Submits a line from a caller. After [loop] has run, [answers] or [refusals] has the result.
     */
    fun submit(request: RequestId, service: ServiceId, keyDigest: String, line: String) {
        prompts[request] = Prompt(service, keyDigest, line)
        loop.offer(CallerEvent.Opened(request, keyDigest, bytesOf(line)))
    }

    private fun carryOut(effect: Effect) {
        when (effect) {
            is PeerEffect.Connect -> connect(effect.record)
            is PeerEffect.Send -> replyAsAgent(effect.connection, effect.message)
            is CallerEffect.AcceptBody -> submitBody(effect.request)
            is CallerEffect.ReadAnswer -> deliverAnswer(effect)
            is CallerEffect.Fail -> refusals[effect.request] = effect.failure
            is CallerEffect.Forget -> prompts.remove(effect.request)
            else -> Unit // Logs, metrics and platform reads; a program may handle them as it needs.
        }
    }

    private fun connect(record: HostRecord) {
        val incarnation = IncarnationId("${record.host}/1")
        loop.offer(
            PeerEvent.Connected(
                record.host,
                AGENT_CONNECTION,
                incarnation,
                record.role,
                record.dataCentre
            )
        )
    }

    /** Replies in place of an agent, which in a fleet is a process of its own. */
    private fun replyAsAgent(connection: ConnectionId, message: PeerMessage) {
        val reply = when (message) {
            is PeerMessage.Heartbeat -> PeerMessage.Heartbeat(message.documentsHash, summary)

            is PeerMessage.GrantRequest ->
                PeerMessage.GrantIssued(message.order.lease, GRANT_TIME, summary)

            else -> return
        }
        loop.offer(PeerEvent.Received(agent.host, connection, reply))
    }

    private fun submitBody(request: RequestId) {
        val prompt = prompts.getValue(request)
        loop.offer(
            CallerEvent.GenerationArrived(
                request = request,
                service = prompt.service,
                keyDigest = prompt.keyDigest,
                promptTokens = Tokens(bytesOf(prompt.line).count / BYTES_PER_TOKEN + 1),
                bodyBytes = bytesOf(prompt.line),
                outputLimit = Tokens(OUTPUT_TOKENS),
                timeout = TIMEOUT,
                prefix = PrefixDigest(prompt.line.hashCode().toLong())
            )
        )
    }

    private fun deliverAnswer(effect: CallerEffect.ReadAnswer) {
        val text = complete(prompts.getValue(effect.request).line)
        answers[effect.request] = text
        loop.offer(AnswerEvent.FirstToken(effect.request, effect.lease))
        loop.offer(
            AnswerEvent.Completed(effect.request, effect.lease, Tokens(1), bytesOf(text))
        )
        loop.offer(CallerEvent.AnswerTaken(effect.request))
    }

    private fun bytesOf(text: String) = Bytes(text.encodeToByteArray().size.toLong())

    private class Prompt(val service: ServiceId, val keyDigest: String, val line: String)

    private companion object {
        val AGENT_CONNECTION = ConnectionId(1)
        val GRANT_TIME: Duration = 5.seconds
        val TIMEOUT: Duration = 10.seconds
        const val OUTPUT_TOKENS = 16L
        const val BYTES_PER_TOKEN = 4
    }
}
