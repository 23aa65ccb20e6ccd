package org.gypsumroute.clients

import org.gypsumroute.api.EngineState

/** An engine's answer about itself; [role] is what it was ordered to be, such as `mixed`. */
data class EngineReport(val state: EngineState, val role: String?)
