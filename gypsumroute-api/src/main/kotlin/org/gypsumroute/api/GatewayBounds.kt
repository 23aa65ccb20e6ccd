package org.gypsumroute.api

import kotlin.time.Duration

/**
 * Limits that the deployment sets for all gateways together.
 *
 * In any [retryWindow], repeats of a service's requests stay under [retryRatio] times its requests
 * plus [retryAllowance]. [endpointGracePeriod] is the time after an outage of the store in which
 * records that lapsed meanwhile return. Memory is reserved for [reservationHold] at a time, so that
 * a lost release leaves it unused no longer than that. A planned stop is over within [drainTime].
 */
data class GatewayBounds(
    val retryRatio: Double,
    val retryWindow: Duration,
    val retryAllowance: Int,
    val endpointGracePeriod: Duration,
    val reservationHold: Duration,
    val drainTime: Duration
)
