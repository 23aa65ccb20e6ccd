package org.gypsumroute.clients

import org.gypsumroute.api.EngineState

/** What an engine reports of itself. [role] is the role it was ordered to take, such as `mixed`. */
data class EngineReport(val state: EngineState, val role: String?)
