package org.gypsumroute.core.fuzz

import org.gypsumroute.api.AnswerEvent
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.Effect
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.NodeState

/** An entry whose traffic is reduced to complete bodies and answers in two parts. */
internal class EntryProcess(fleet: Fleet, record: HostRecord) : SimulatedProcess(fleet, record) {
    private val arrivals = mutableMapOf<RequestId, CallerEvent>()
    private val leaseByRequest = mutableMapOf<RequestId, LeaseId>()
    private val completed = mutableSetOf<RequestId>()

    override fun initialState(): NodeState =
        EntryState(CommonState(identity(), fleet.timings, fleet.policies))

    fun request(request: RequestId, arrival: CallerEvent, keyDigest: String) {
        arrivals[request] = arrival
        offer(CallerEvent.Opened(request, keyDigest, Bytes(BODY_BYTES)))
    }

    override fun executeRoleEffect(effect: Effect) {
        when (effect) {
            is PeerEffect.Connect -> fleet.connect(this, effect.record)

            is PeerEffect.Disconnect -> withLink(effect.connection) {
                fleet.closeLink(it, "closed")
            }

            is PeerEffect.Send -> withLink(effect.connection) {
                fleet.toAgent(it, SimulatedFrame.Control(effect.message))
            }

            is CallerEffect -> executeCallerEffect(effect)

            else -> error("an entry has no effect $effect")
        }
    }

    private fun executeCallerEffect(effect: CallerEffect) {
        when (effect) {
            is CallerEffect.AcceptBody -> arrivals[effect.request]?.let { offerLater(it) }

            is CallerEffect.Fail -> fail(effect)

            is CallerEffect.AnswerActionKey -> {
                fleet.keys += effect.key
                fleet.oracle.requestAnswered(effect.request)
                offerLater(CallerEvent.AnswerTaken(effect.request))
            }

            is CallerEffect.Upload -> withLink(effect.connection) {
                fleet.toAgent(it, SimulatedFrame.Body(effect.lease))
            }

            is CallerEffect.ReadAnswer -> leaseByRequest[effect.request] = effect.lease

            is CallerEffect.ResumeAnswer -> withLink(effect.connection) {
                fleet.toAgent(it, SimulatedFrame.Resume(effect.lease))
            }

            is CallerEffect.Forget -> {
                leaseByRequest.remove(effect.request)
                arrivals.remove(effect.request)
            }
        }
    }

    // A real front end does not replace an answer that the caller has already received.
    private fun fail(effect: CallerEffect.Fail) {
        if (effect.request in completed) return
        fleet.oracle.requestFailed(effect.request, effect.failure)
        leaseByRequest.remove(effect.request)
        offerLater(CallerEvent.AnswerTaken(effect.request))
    }

    override fun receive(link: SimulatedLink, frame: SimulatedFrame) {
        when (frame) {
            is SimulatedFrame.Control -> receiveControl(link.agent, link, frame.message)
            is SimulatedFrame.Answer -> answer(frame)
            else -> error("an entry receives no $frame")
        }
    }

    private fun answer(frame: SimulatedFrame.Answer) {
        val request = leaseByRequest.entries.firstOrNull { it.value == frame.lease }?.key ?: return
        val tokens = Tokens(frame.tokens)
        val held = Bytes(frame.tokens * BYTES_PER_TOKEN)
        if (!frame.complete) {
            offer(AnswerEvent.FirstToken(request, frame.lease))
            offer(AnswerEvent.Progress(request, frame.lease, tokens, held))
        } else if (completed.add(request)) {
            offer(AnswerEvent.Completed(request, frame.lease, tokens, held))
            fleet.oracle.requestAnswered(request)
            offerLater(CallerEvent.AnswerTaken(request))
        }
    }

    override fun onKilled() {
        fleet.oracle.entryKilled(record.host)
        fleet.platform.removeProcess(this)
        arrivals.clear()
        leaseByRequest.clear()
    }

    private fun withLink(connection: ConnectionId, use: (SimulatedLink) -> Unit) {
        links.firstOrNull { it.id == connection }?.let(use)
    }

    private companion object {
        const val BODY_BYTES = 4_000L
        const val BYTES_PER_TOKEN = 4L
    }
}
