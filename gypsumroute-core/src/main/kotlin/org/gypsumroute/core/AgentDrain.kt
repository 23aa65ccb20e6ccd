package org.gypsumroute.core

import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step

/**
 * Ends the process once nothing runs and no answer is kept. Cancels that an unreachable engine
 * cannot confirm are left to the next agent, which reads what the engine holds.
 */
internal fun finishDrain(state: AgentState): Step<AgentState> {
    val draining = state.common.drain == DrainPhase.DRAINING
    if (!draining || state.leases.isNotEmpty() || holdsWork(state)) return state.step()
    return state.copy(common = state.common.copy(drain = DrainPhase.FINISHED)).step(
        logEffect(LogEvent.DRAIN_FINISHED),
        RuntimeEffect.Exit(0)
    )
}

private fun holdsWork(state: AgentState): Boolean = state.ledger.reservations.values.any {
    it.hold == EngineHold.OPEN || !it.onEngine || state.engine.reachable
}
