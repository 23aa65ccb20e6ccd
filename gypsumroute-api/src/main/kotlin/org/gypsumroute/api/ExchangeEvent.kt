package org.gypsumroute.api

/** Events of the exchange between gateways. */
sealed interface ExchangeEvent : Event {
    /** A report arrived from the gateway at [from]. */
    data class ReportReceived(val from: EndpointAddress, val report: GatewayReport) : ExchangeEvent
}
