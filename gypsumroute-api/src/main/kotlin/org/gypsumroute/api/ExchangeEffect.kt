package org.gypsumroute.api

/** Effects on the exchange between gateways. */
sealed interface ExchangeEffect : Effect {
    /** Sends a report to each gateway in [to]; it may be lost on the way. */
    data class SendReport(val to: List<EndpointAddress>, val report: GatewayReport) :
        ExchangeEffect
}
