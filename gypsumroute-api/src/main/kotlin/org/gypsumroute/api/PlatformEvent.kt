package org.gypsumroute.api

/** Events from the configuration service and the host list. */
sealed interface PlatformEvent : Event {
    /** A document arrived from a peer, or from the configuration service if [from] is null. */
    data class DocumentRead(val from: HostId?, val result: DocumentDecodeResult) : PlatformEvent

    /** A read or watch of the documents ended. Each document came as a `DocumentRead` before. */
    data class ConfigurationReadEnded(val succeeded: Boolean) : PlatformEvent

    /** The host list was read and replaces the previous one. */
    data class HostsRead(val hosts: List<HostRecord>) : PlatformEvent

    /** The host list could not be read. */
    data class HostsUnavailable(val cause: String) : PlatformEvent
}
