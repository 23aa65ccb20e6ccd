/*
 * The behaviour of a gateway that varies, as functions.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.EngineProfile
import org.gypsumroute.api.Tokens

/** Chooses where a request goes, or null if no endpoint may take it now. */
typealias ForwardPlacement = (ForwardQuestion) -> ForwardChoice?

/** One function for each behaviour that varies. */
data class GatewayPolicies(val placement: ForwardPlacement)

/**
 * What a placement decides on. [objective] is the time that is left until a first byte would be
 * late, [remaining] until the request fails, and [gap] the longest pause that its stream bears.
 */
data class ForwardQuestion(
    val candidates: List<ForwardCandidate>,
    val figures: EngineProfile?,
    val size: RequestSize,
    val objective: Duration,
    val remaining: Duration,
    val gap: Duration,
    val ownDataCentre: DataCentreId,
    val entropy: Long
)

/** An endpoint that may take the request, with the work of all gateways as far as known. */
data class ForwardCandidate(
    val record: EndpointRecord,
    val load: EngineLoad,
    val backlog: Backlog,
    val failureShare: Double
)

/**
 * Where a request goes. Endpoint and [helpers] read [readTime] each; the placement expects the
 * first byte after [firstByte]. A prompt that no engine holds alone needs [reservations] at
 * helpers.
 */
data class ForwardChoice(
    val endpoint: EndpointId,
    val helpers: List<EndpointId>,
    val readTime: Duration,
    val firstByte: Duration,
    val reservations: Map<EndpointId, Tokens> = emptyMap()
)
