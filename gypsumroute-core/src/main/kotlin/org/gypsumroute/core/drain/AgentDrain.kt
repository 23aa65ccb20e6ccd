package org.gypsumroute.core.drain

import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.engine.EngineHold
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step

/**
 * Ends a draining process once no work runs and no stored answer waits for its entry. Cancels that
 * an unreachable engine cannot confirm don't delay the exit: the next agent process reads the
 * engine's state and cancels what is left.
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
