/*
 * The policies of a process as function types, so that measurements can compare two versions of a
 * policy by replacing one function.
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
import org.gypsumroute.core.admission.fits
import org.gypsumroute.core.peers.lengthClass
import org.gypsumroute.core.requests.candidates
import org.gypsumroute.core.requests.retry

/** Ranks the candidates for a request, best first; candidates that are left out are not asked. */
typealias PlacementPolicy = (PlacementContext) -> List<PlacementCandidate>

/** Picks the index of the next queued request to grant, or null if none may be granted now. */
typealias QueueOrder = (QueueContext) -> Int?

/** The share of capacity (0 to 1) to offer after one completion. */
typealias RampPolicy = (RampContext) -> Double

/** The wait before the next attempt, or null if there should be none. */
typealias RetryPolicy = (RetryContext) -> Duration?

/** Estimated time to prefill this many tokens at the given warm speed. */
typealias PrefillEstimate = (Tokens, RampRule) -> Duration

/** The policies that a process uses. */
data class Policies(
    val placement: PlacementPolicy,
    val queueOrder: QueueOrder,
    val ramp: RampPolicy,
    val retry: RetryPolicy,
    val prefillEstimate: PrefillEstimate
)

/**
 * An endpoint that may receive a request. [summary] is null until the endpoint has sent one;
 * [openLeases] counts the leases that this entry has there.
 */
data class PlacementCandidate(
    val hostRecord: HostRecord,
    val summary: EndpointSummary?,
    val openLeases: Int
)

/**
 * Input of a placement policy. [neededTokens] is the engine memory for prompt and output, in
 * tokens; [entropy] are random bits for the request.
 */
data class PlacementContext(
    val candidates: List<PlacementCandidate>,
    val neededTokens: Tokens,
    val prefix: PrefixDigest?,
    val localDataCentre: String,
    val entropy: Long
)

/** A queued request as a queue order sees it. */
data class QueuedWork(
    val organisation: OrganisationId,
    val lengthClass: LengthClass,
    val neededTokens: Tokens,
    val queuedAt: Moment,
    val deadline: Moment
)

/**
 * Input of a queue order. [fits] tells whether an item fits into the memory and slots that its
 * length class may use now; [served] is the work granted to each organisation recently, in tokens
 * divided by the organisation's weight.
 */
data class QueueContext(
    val now: Moment,
    val waiting: List<QueuedWork>,
    val fits: (QueuedWork) -> Boolean,
    val served: Map<OrganisationId, Double>
)

/**
 * Input of a ramp policy after a completion, which took [elapsed] where a warm engine would take
 * [warmEstimate]. [completionsAtShare] counts the completions at the current [share], and
 * [workAtShare] is the time that a warm engine would need to prefill all of them.
 */
data class RampContext(
    val rule: RampRule,
    val share: Double,
    val completionsAtShare: Int,
    val workAtShare: Duration,
    val elapsed: Duration,
    val warmEstimate: Duration
)

/**
 * Input of a retry policy. [attempt] counts the attempts made; [availableRetries] is the number of
 * retries that the budget still allows.
 */
data class RetryContext(
    val rule: RetryRule,
    val attempt: Int,
    val availableRetries: Double,
    val timeToDeadline: Duration,
    val entropy: Long
)
