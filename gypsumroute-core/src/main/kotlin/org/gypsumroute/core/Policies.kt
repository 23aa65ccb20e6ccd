/*
 * The behaviour that varies, as functions. A measurement compares two policies by swapping one.
 */
package org.gypsumroute.core

import kotlin.time.Duration
import org.gypsumroute.api.EndpointSummary
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.LengthClass
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.PrefixDigest
import org.gypsumroute.api.RampRule
import org.gypsumroute.api.RetryRule
import org.gypsumroute.api.Tokens

/** Orders the candidates of a request, best first; candidates left out are not asked. */
typealias PlacementPolicy = (PlacementContext) -> List<PlacementCandidate>

/** Picks the index of the next queued request to grant, or null if none may be granted now. */
typealias QueueOrder = (QueueContext) -> Int?

/** The share of capacity (0 to 1) to offer after one completion. */
typealias RampPolicy = (RampContext) -> Double

/** The wait before the next attempt, or null if there should be none. */
typealias RetryPolicy = (RetryContext) -> Duration?

/** Estimated time to prefill this many tokens at the given warm speed. */
typealias PrefillEstimate = (Tokens, RampRule) -> Duration

/** One function for each behaviour that varies. */
data class Policies(
    val placement: PlacementPolicy,
    val queueOrder: QueueOrder,
    val ramp: RampPolicy,
    val retry: RetryPolicy,
    val prefillEstimate: PrefillEstimate
)

/** An endpoint that could take a request. [openLeases] counts this entry's unanswered leases there. */
data class PlacementCandidate(
    val hostRecord: HostRecord,
    val summary: EndpointSummary?,
    val openLeases: Int
)

/** What a placement decides on. */
data class PlacementContext(
    val candidates: List<PlacementCandidate>,
    val requiredTokens: Tokens,
    val prefix: PrefixDigest?,
    val localDataCentre: String,
    val entropy: Long
)

/** One waiting request as the queue order sees it. */
data class QueuedWork(
    val organisation: OrganisationId,
    val lengthClass: LengthClass,
    val requiredTokens: Tokens,
    val queuedAt: Moment,
    val deadline: Moment
)

/**
 * What a queue order decides on. [fits] tells whether an item fits the memory and slots that its
 * class may take now; [served] is the weighted work that each organisation got recently.
 */
data class QueueContext(
    val now: Moment,
    val waiting: List<QueuedWork>,
    val fits: (QueuedWork) -> Boolean,
    val served: Map<OrganisationId, Double>
)

/**
 * What a ramp decides on: a completion took [elapsed] where a warm engine takes [warmEstimate].
 * [workAtShare] is the warm prefill time of all completions at this share.
 */
data class RampContext(
    val rule: RampRule,
    val share: Double,
    val completionsAtShare: Int,
    val workAtShare: Duration,
    val elapsed: Duration,
    val warmEstimate: Duration
)

/** What a retry decides on. [budget] is the number of retries that the budget still allows. */
data class RetryContext(
    val rule: RetryRule,
    val attempt: Int,
    val budget: Double,
    val remaining: Duration,
    val entropy: Long
)
