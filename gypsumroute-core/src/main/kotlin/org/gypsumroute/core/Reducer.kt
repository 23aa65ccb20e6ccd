/*
 * The reducer of all events. It passes each event to the reducer of the process's role, which
 * passes it on to smaller reducers. All are pure functions from a state and an event to a step:
 * the next state and the effects to carry out.
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
