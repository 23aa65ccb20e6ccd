package org.gypsumroute.core.gateway

import kotlin.time.Duration

/**
 * Limits that the deployment sets for all gateways together.
 *
 * In any [retryWindow], repeats of a service's requests stay under [retryRatio] times its requests
 * plus [retryAllowance]. A cold endpoint gets at most [coldFactor] times its published rate plus
 * [coldAllowance] requests in a second. [endpointReturn] is the time after an outage of the store
 * in which records that lapsed meanwhile return. [drainTime] bounds a planned stop.
 */
data class GatewayBounds(
    val retryRatio: Double,
    val retryWindow: Duration,
    val retryAllowance: Int,
    val coldFactor: Double,
    val coldAllowance: Int,
    val endpointReturn: Duration,
    val drainTime: Duration
)
