/*
 * The service document: the one page a team writes to govern its service.
 *
 * `docs/service-document.md` describes the YAML form. Codecs live in gypsumroute-clients and the
 * validation rules in gypsumroute-core; all processes accept exactly the same bytes.
 */
package org.gypsumroute.api

import kotlin.time.Duration

/** Settings of one service; immutable once its version is published. */
data class ServiceDocument(
    val service: ServiceId,
    val version: DocumentVersion,
    val kind: ServiceKind,
    val withdrawn: Boolean,
    val pool: PoolId,
    val model: ModelSpec?,
    val promptLimit: Tokens,
    val outputLimit: Tokens,
    val deadline: DeadlineRule,
    val lengthClasses: List<LengthClass>,
    val organisations: List<OrganisationRule>,
    val dataCentresOut: Set<DataCentreId>,
    val limits: LimitRule,
    val ramp: RampRule,
    val retry: RetryRule,
    val group: GroupRule,
    val actions: ActionRule
)

/** Whether a service is backed by model engines or by plain services. */
enum class ServiceKind { GENERATION, PLAIN }

/** The model, adapter and model version that the service's engines load. */
data class ModelSpec(val model: ModelId, val adapter: String?, val version: String)

/** Deadline used when the caller gives none (null: the caller must give one), and the longest. */
data class DeadlineRule(val default: Duration?, val longest: Duration)

/**
 * A range of prompt lengths that are scheduled alike. Classes are listed in ascending [upTo];
 * [reservedShare] (0 to 1) of an endpoint's memory and slots is kept from longer classes.
 */
data class LengthClass(
    val name: LengthClassName,
    val upTo: Tokens,
    val reservedShare: Double,
    val firstTokenObjective: Duration,
    val betweenTokensObjective: Duration,
    val objectiveShare: Double,
    val longestWait: Duration
)

/** An organisation that may use the service; [keyDigests] are SHA-256 of its bearer keys. */
data class OrganisationRule(
    val organisation: OrganisationId,
    val keyDigests: List<String>,
    val weight: Int,
    val openRequests: Int
)

/** Limits of one endpoint and of one entry. */
data class LimitRule(
    val slotsPerEndpoint: Int,
    val queuePerEndpoint: Int,
    val answerBytesPerOrganisation: Bytes
)

/**
 * How a cold endpoint's offered share of capacity grows. A warm engine takes [warmFirstToken] for
 * a prompt of a few tokens, and [warmPrefillTokensPerSecond] tells how much more for a longer one.
 */
data class RampRule(
    val initialShare: Double,
    val completionsPerStep: Int,
    val growthFactor: Double,
    val coldFactor: Double,
    val warmFirstToken: Duration,
    val warmPrefillTokensPerSecond: Long
)

/** Retry limits: [budgetShare] is retries as a share of requests (0 to 1). */
data class RetryRule(
    val attempts: Int,
    val budgetShare: Double,
    val firstBackoff: Duration,
    val longestBackoff: Duration
)

/** Limits of a group of endpoints that serves one long prompt. */
data class GroupRule(val largestMembers: Int, val dataCentreShare: Double, val grantWait: Duration)

/** Paths of a plain service whose calls must run at most once, and how long results are kept. */
data class ActionRule(val notRepeatable: List<String>, val keptRecords: Int)
