package org.gypsumroute.api

/** Events from the configuration service and the host list. */
sealed interface PlatformEvent : Event {
    /** A document arrived from the configuration service (peer is null) or from a peer. */
    data class DocumentRead(val from: HostId?, val result: DocumentDecodeResult) : PlatformEvent

    /** A read or watch of the configuration service ended; documents came as separate events. */
    data class ConfigurationReadEnded(val succeeded: Boolean) : PlatformEvent

    /** The host list was read; it replaces the one before. */
    data class HostsRead(val hosts: List<HostRecord>) : PlatformEvent

    /** The host list could not be read. */
    data class HostsUnavailable(val cause: String) : PlatformEvent
}
