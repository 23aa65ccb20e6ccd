/*
 * The behaviour of a gateway that varies, as functions.
 */
package org.gypsumroute.core.gateway.placement

import kotlin.time.Duration
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.EngineProfile
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.admission.AdmissionPolicies
import org.gypsumroute.core.gateway.admission.AdmissionPolicy
import org.gypsumroute.core.gateway.attempts.ForwardRecord
import org.gypsumroute.core.gateway.endpoints.AS_EXPECTED
import org.gypsumroute.core.gateway.endpoints.Backlog
import org.gypsumroute.core.gateway.shares.organisationExcess as excessOverShare

/** Chooses where a request goes, or null if no endpoint may take it now. */
typealias ForwardPlacement = (ForwardPlacementInput) -> ForwardChoice?

/**
 * By what multiple of its share the organisation of a request exceeds it; 0 while it is within.
 */
typealias OrganisationExcess = (GatewayState, ForwardRecord) -> Double

/** One function for each behaviour that varies. */
data class GatewayPolicies(
    val placement: ForwardPlacement,
    val admission: AdmissionPolicy = AdmissionPolicies.waitUnderShortage,
    val organisationExcess: OrganisationExcess = ::excessOverShare
)

/**
 * What a placement function decides on. [profile] is null for plain services. [objective] is the
 * time left until a first byte is late, [remaining] the time left until the request fails, and
 * [gapObjective] the longest pause that its stream tolerates. [unreportedRequests] is the number of
 * requests that all gateways are expected to place before they hear of each other's choices.
 * [entropy] is random and breaks ties.
 */
data class ForwardPlacementInput(
    val candidates: List<ForwardCandidate>,
    val profile: EngineProfile?,
    val size: RequestSize,
    val objective: Duration,
    val remaining: Duration,
    val gapObjective: Duration,
    val ownDataCentre: DataCentreId,
    val unreportedRequests: Int,
    val entropy: Long
)

/**
 * An endpoint that may take the request, with the known load of all gateways. [failureRate] is the
 * share of attempts, from 0 to 1, that are expected to fail there. Work takes [pace] times as long
 * as predicted there.
 */
data class ForwardCandidate(
    val record: EndpointRecord,
    val load: EngineLoad,
    val backlog: Backlog,
    val failureRate: Double,
    val pace: Double = AS_EXPECTED
)

/**
 * Where a request goes. The endpoint and each of the [helpers] read a part of the prompt for
 * [prefillTime]; [predictedFirstByte] is the predicted time until the first byte, and [modelFirstByte]
 * the same if the pace of all of them were as the model predicts. A prompt that fits no single
 * engine's memory needs [reservations] at helpers.
 */
data class ForwardChoice(
    val endpoint: EndpointId,
    val helpers: List<EndpointId>,
    val prefillTime: Duration,
    val predictedFirstByte: Duration,
    val reservations: Map<EndpointId, Tokens> = emptyMap(),
    val modelFirstByte: Duration = predictedFirstByte
)
