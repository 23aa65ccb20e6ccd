/*
 * The service document, with which a team configures its service.
 *
 * `docs/service-document.md` describes the YAML form. The module gypsumroute-clients decodes it and
 * gypsumroute-core validates it, so that all processes accept exactly the same documents.
 */
package org.gypsumroute.api

import kotlin.time.Duration

/** Settings of one service. A published version never changes. */
data class ServiceDocument(
    val service: ServiceId,
    val version: DocumentVersion,
    val kind: ServiceKind,
    val withdrawn: Boolean,
    val pool: PoolId,
    val model: EngineModel?,
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
data class EngineModel(val model: ModelId, val adapter: String?, val version: String)

/**
 * Deadlines of requests. [default] applies if the caller states none; if it is null, the caller has
 * to state one. No deadline may be longer than [longest].
 */
data class DeadlineRule(val default: Duration?, val longest: Duration)

/**
 * A range of prompt lengths with the same scheduling rules.
 *
 * Classes are listed by ascending [upTo], the longest prompt of the class. [reservedShare] (0 to 1)
 * of an endpoint's memory and slots is kept free of longer classes. [objectiveShare] (0 to 1) is
 * the share of requests that are to meet the time objectives. Work that has waited in a queue for
 * [longestWait] goes ahead of work that has not waited its longest time.
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

/**
 * An organisation that may use the service. [keyDigests] are SHA-256 digests of its bearer keys.
 * Queued work of organisations is granted in proportion to [weight]. [openRequests] is the number
 * of requests that it may have open at a time; each entry enforces a part of that limit.
 */
data class OrganisationRule(
    val organisation: OrganisationId,
    val keyDigests: List<String>,
    val weight: Int,
    val openRequests: Int
)

/**
 * Limits of each endpoint and of each entry. [answerBytesPerOrganisation] bounds the request bodies
 * and answers of one organisation that an entry buffers.
 */
data class LimitRule(
    val slotsPerEndpoint: Int,
    val queuePerEndpoint: Int,
    val answerBytesPerOrganisation: Bytes
)

/**
 * How the share of its capacity that a cold endpoint offers grows.
 *
 * It starts at [initialShare] and is multiplied by [growthFactor] after [completionsPerStep]
 * completions at warm speed. A completion that takes longer than [coldFactor] times the estimate
 * for a warm engine sets it back. That estimate is [warmFirstToken] for a prompt of a few tokens,
 * plus the time for the prompt at [warmPrefillTokensPerSecond].
 */
data class RampRule(
    val initialShare: Double,
    val completionsPerStep: Int,
    val growthFactor: Double,
    val coldFactor: Double,
    val warmFirstToken: Duration,
    val warmPrefillTokensPerSecond: Long
)

/**
 * Limits for retries. [attempts] counts the first attempt too. [budgetShare] is the largest number
 * of retries as a share of the requests (0 to 1). The backoff doubles from [firstBackoff] to
 * [longestBackoff].
 */
data class RetryRule(
    val attempts: Int,
    val budgetShare: Double,
    val firstBackoff: Duration,
    val longestBackoff: Duration
)

/**
 * Limits of groups of endpoints that each serve one long prompt. A group has at most
 * [largestMembers] endpoints, and groups may use [dataCentreShare] (0 to 1) of a data centre's
 * endpoints. [grantWait] is how long an entry waits for the grant of a member.
 */
data class GroupRule(val largestMembers: Int, val dataCentreShare: Double, val grantWait: Duration)

/**
 * Rules for actions of a plain service. Calls of the paths [notRepeatable] must run at most once.
 * An agent keeps the results of the last [keptRecords] actions.
 */
data class ActionRule(val notRepeatable: List<String>, val keptRecords: Int)
