package org.gypsumroute.api

/** Events of the exchange of load reports between gateways. */
sealed interface ExchangeEvent : Event {
    /** A report arrived from the gateway at [from]. */
    data class ReportReceived(val from: EndpointAddress, val report: GatewayReport) : ExchangeEvent

    /** A datagram could not be decoded, or not be received; [from] is null in the latter case. */
    data class ReportRejected(val from: EndpointAddress?, val cause: String) : ExchangeEvent
}
