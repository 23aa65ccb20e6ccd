/*
 * The behaviour of a gateway that varies, as functions.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import org.gypsumroute.api.EndpointId

/** Chooses where a request goes, or null if no endpoint may take it now. */
typealias ForwardPlacement = (ForwardQuestion) -> ForwardChoice?

/** One function for each behaviour that varies. */
data class GatewayPolicies(val placement: ForwardPlacement)

/** What a placement decides on: the request and the endpoints that may take it. */
data class ForwardQuestion(
    val record: ForwardRecord,
    val candidates: List<ForwardCandidate>,
    val ownDataCentre: String,
    val entropy: Long
)

/** An endpoint that may take the request. */
data class ForwardCandidate(val state: EndpointState, val failureShare: Double)

/** Where a request goes and the [firstByte] that the placement expects. */
data class ForwardChoice(
    val endpoint: EndpointId,
    val helpers: List<EndpointId>,
    val readTime: Duration,
    val firstByte: Duration
)
