package org.gypsumroute.core

/** State of an agent. */
data class AgentState(override val common: CommonState) : NodeState
