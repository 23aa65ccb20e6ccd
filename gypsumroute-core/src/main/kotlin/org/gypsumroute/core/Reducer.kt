/*
 * The one reducer. It sends each event to the reducers of the concerns that it touches; those are
 * pure functions from a state and an event to a step.
 */
package org.gypsumroute.core

import org.gypsumroute.api.Event
import org.gypsumroute.api.Step
import org.gypsumroute.core.gateway.reduceGateway

/** Computes the next state of a process and the effects to carry out. */
fun reduce(state: NodeState, event: Event): Step<NodeState> = when (state) {
    is EntryState -> reduceEntry(state, event)
    is AgentState -> reduceAgent(state, event)
    is GatewayState -> reduceGateway(state, event)
}
