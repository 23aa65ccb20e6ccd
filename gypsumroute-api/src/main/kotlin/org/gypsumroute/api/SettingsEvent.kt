package org.gypsumroute.api

/** Events from the settings of a running process. */
sealed interface SettingsEvent : Event {
    /** Changed settings without faults; what else they hold takes effect at the next start. */
    data class Changed(val bounds: GatewayBounds, val seeds: List<EndpointAddress>) : SettingsEvent

    /** Changed settings with a fault. */
    data class Rejected(val problem: String) : SettingsEvent
}
