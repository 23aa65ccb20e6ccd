package org.gypsumroute.core

import org.gypsumroute.api.Event
import org.gypsumroute.api.Step

internal fun reduceAgent(state: AgentState, event: Event): Step<AgentState> =
    reduceCommon(state.common, event)
        .then { updateReadiness(it) }
        .map { state.copy(common = it) }
