package org.gypsumroute.api

/** Events of the exchange between gateways. */
sealed interface ExchangeEvent : Event {
    /** A report arrived from the gateway at [from]. */
    data class ReportReceived(val from: EndpointAddress, val report: GatewayReport) : ExchangeEvent

    /** A datagram could not be used; [from] is null if it could not even be received. */
    data class ReportRejected(val from: EndpointAddress?, val cause: String) : ExchangeEvent
}
