package org.gypsumroute.api

/** Events from changes of the settings of a running process. */
sealed interface SettingsEvent : Event {
    /** The settings changed and are valid. Only these take effect now, others at the next start. */
    data class Changed(val bounds: GatewayBounds, val seeds: List<EndpointAddress>) : SettingsEvent

    /** The settings changed and are invalid. */
    data class Rejected(val problem: String) : SettingsEvent
}
