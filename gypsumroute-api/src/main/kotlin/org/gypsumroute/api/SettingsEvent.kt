package org.gypsumroute.api

/** Events from changes of the settings of a running process. */
sealed interface SettingsEvent : Event {
    /** The settings changed and are valid. Only these take effect now, others at the next start. */
    data class Changed(val bounds: GatewayBounds, val seeds: List<EndpointAddress>) : SettingsEvent

    /** A field of the settings cannot be used; [problem] names it and the value used instead. */
    data class FieldReplaced(val problem: String) : SettingsEvent

    /** The settings changed and are invalid. */
    data class Rejected(val problem: String) : SettingsEvent
}
