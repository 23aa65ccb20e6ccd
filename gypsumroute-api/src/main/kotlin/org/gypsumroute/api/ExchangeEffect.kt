package org.gypsumroute.api

/** Effects on the exchange of load reports between gateways. */
sealed interface ExchangeEffect : Effect {
    /** Sends a report to each gateway in [to] as a datagram, which may be lost. */
    data class SendReport(val to: List<EndpointAddress>, val report: GatewayReport) :
        ExchangeEffect
}
