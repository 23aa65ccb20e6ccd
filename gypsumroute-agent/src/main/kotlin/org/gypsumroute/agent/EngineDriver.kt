/*
 * Carries out engine effects: on the engine or plain service beside this agent, and on the bodies
 * and answers of leases.
 */
package org.gypsumroute.agent

import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.runtime.EventSink

/** Called on the control thread, so nothing here blocks: [engine] and [service] return at once. */
internal class EngineDriver(
    private val leases: Leases,
    private val engine: EngineCalls?,
    private val service: ServiceCalls?,
    private val events: EventSink
) {
    fun execute(effect: EngineEffect) {
        when (effect) {
            is EngineEffect.ReceiveBody -> leases.expectBody(effect.lease)
            is EngineEffect.OpenStream -> open(effect)
            is EngineEffect.PrefillSegment -> prefill(effect)
            is EngineEffect.CallService -> call(effect)
            is EngineEffect.ReplayAnswer -> replay(effect)
            is EngineEffect.CancelStream -> cancel(effect)
            is EngineEffect.ForgetLease -> leases.forget(effect.lease)
            is EngineEffect.ReleaseHandle -> engine?.release(effect.handle)
            is EngineEffect.ReadState -> readState()
            is EngineEffect.LoadModel -> engine?.load(effect)
        }
    }

    private fun open(effect: EngineEffect.OpenStream) {
        val traffic = leases.find(effect.lease)
        if (traffic == null || engine == null) {
            val cause = "the agent holds no body of this lease or has no engine"
            events(EngineEvent.StreamFailed(effect.lease, reached = false, cause = cause))
            return
        }
        leases.startSending(effect.lease)
        engine.open(effect, traffic)
    }

    private fun prefill(effect: EngineEffect.PrefillSegment) {
        val traffic = leases.find(effect.lease)
        if (traffic == null || engine == null) {
            val cause = "the agent holds no body of this lease or has no engine"
            events(EngineEvent.StreamFailed(effect.lease, reached = false, cause = cause))
            return
        }
        engine.prefill(effect, traffic)
    }

    private fun call(effect: EngineEffect.CallService) {
        val traffic = leases.find(effect.lease)
        if (traffic == null || service == null) {
            val cause = "the agent holds no body of this lease or has no plain service"
            events(EngineEvent.CallFailed(effect.lease, reached = false, cause = cause))
            return
        }
        traffic.replaceAnswer(LeaseAnswer(effect.lease, retainAcknowledged = true))
        leases.startSending(effect.lease)
        service.call(effect, traffic)
    }

    private fun replay(effect: EngineEffect.ReplayAnswer) {
        val recorded = leases.find(effect.recorded)?.answer?.copyForLease(effect.lease)
        if (recorded == null) {
            val cause = "the recorded answer is gone"
            events(EngineEvent.CallFailed(effect.lease, reached = true, cause = cause))
            return
        }
        leases.expectBody(effect.lease).replaceAnswer(recorded)
        leases.startSending(effect.lease)
    }

    private fun cancel(effect: EngineEffect.CancelStream) {
        leases.find(effect.lease)?.abandon()
        engine?.cancel(effect.lease)
    }

    private fun readState() {
        engine?.readState()
    }
}
