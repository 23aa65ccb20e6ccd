package org.gypsumroute.api

import kotlin.time.Duration

/**
 * Limits that the deployment sets for its gateways.
 *
 * A published change has to be in force in a gateway within [changeTime] after the store took it.
 *
 * Within any [retryWindow], all gateways together retry at most [retryRatio] times the requests of
 * a service, plus [retryAllowance].
 *
 * [endpointLapseTime] is the shortest outage of the store in which the record of a live endpoint
 * can expire. [endpointGracePeriod] is the time after such an outage in which removed endpoint
 * records still count, because live endpoints whose records expired publish them again.
 *
 * [reservationHold] is the time for which memory is reserved; reservations in use are renewed. If a
 * release is lost, the memory stays unused no longer than that. A planned stop ends within
 * [drainTime].
 */
data class GatewayBounds(
    val changeTime: Duration,
    val retryRatio: Double,
    val retryWindow: Duration,
    val retryAllowance: Double,
    val endpointLapseTime: Duration,
    val endpointGracePeriod: Duration,
    val reservationHold: Duration,
    val drainTime: Duration
)
