/*
 * Requests whose prompt has a part that crashes endpoints: collects the evidence from the ends of
 * attempts, and decides which requests reach no endpoint for it.
 *
 * A part is refused to the organisations whose requests lost endpoints, and to all once they are
 * several, so that no organisation can get a part of another refused by sending it itself. After
 * the time of the block one request may try the part again. The gateways take turns at that, since
 * they would otherwise all try at the same time.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.CrashReport
import org.gypsumroute.api.EndpointStart
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.OrganisationDigest
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.rendezvousWeightOfHashes
import org.gypsumroute.core.stableHash
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

/**
 * Notes that the connection of an attempt was lost, probably since its endpoint ended. A request
 * of which the caller was already reading the answer is not the cause: endpoints crash when they
 * begin to answer.
 */
internal fun noteConnectionLost(
    state: GatewayState,
    record: ForwardRecord,
    attempt: Attempt
): Step<GatewayState> {
    val now = state.common.now
    val loss = EndpointLoss(
        start = startOf(attempt),
        organisation = digestOf(record.organisation),
        sentAt = attempt.sentAt,
        lostAt = now
    )
    val answering = record.firstEventAt?.let { now - it > ANSWER_BEGINNING } ?: false
    val log = logEffect(
        LogEvent.CONNECTION_LOST,
        "request" to record.head.callerRequestId,
        "attempt" to record.sendCount,
        "endpoint" to attempt.endpoint,
        "start" to attempt.startStamp,
        "organisation" to record.organisation,
        "parts" to record.head.promptParts.joinToString(" "),
        "begun" to record.answerStarted,
        "open_beside" to (state.endpoints[attempt.endpoint]?.work?.size ?: 0),
        "sent_ago" to (now - attempt.sentAt)
    )
    return state.step(log).then {
        if (answering) {
            it.step()
        } else {
            it.withEvidence(it.crashes.withOwnLoss(record.head.promptParts, loss))
        }
    }
}

/** Notes that a prompt got its complete answer, which clears its parts. */
internal fun noteAnswered(state: GatewayState, record: ForwardRecord): Step<GatewayState> =
    if (record.head.promptTokens == null) {
        state.step()
    } else {
        state.withEvidence(state.crashes.withServed(record.head.promptParts, state.common.now))
    }

/** Takes over what another gateway reported. */
internal fun reduceCrashReport(state: GatewayState, report: CrashReport): Step<GatewayState> =
    state.withEvidence(state.crashes.withReport(report, state.common.now))

/**
 * The part of the request for which it must reach no endpoint now, or null. Of several it is the
 * last one, since the first parts of prompts are the most widely shared.
 */
internal fun findBlockedPart(state: GatewayState, record: ForwardRecord): BlockedPart? {
    if (state.crashes.parts.isEmpty()) return null
    return record.head.promptParts.asReversed().firstNotNullOfOrNull { part ->
        state.crashes.parts[part]
            ?.takeIf { it.isSuspect && appliesTo(it, record.organisation) }
            ?.takeUnless { isExplainedByOthers(state.crashes, part, it, record.head.promptParts) }
            ?.let { evidence ->
                waitFor(state, record, part, evidence)?.let { BlockedPart(part, evidence, it) }
            }
    }
}

/** Ends a request that reaches no endpoint, or no further one, because of a part of its prompt. */
internal fun endBlocked(
    state: GatewayState,
    record: ForwardRecord,
    blocked: BlockedPart
): Step<GatewayState> {
    val detail = "prompt part ${blocked.part} ended ${blocked.evidence.losses.size} endpoints"
    return when {
        record.failureAnswerHeld && !record.answerStarted ->
            endWithHeldFailure(state, record, detail)

        record.mayHaveRun -> endWithError(state, record, ErrorKind.ENDPOINT_LOST, detail)

        else -> endWithError(
            state,
            record,
            ErrorKind.PROMPT_PART_BLOCKED,
            detail,
            retryAfter = blocked.retryAfter
        )
    }
}

private fun appliesTo(evidence: PartEvidence, organisation: OrganisationId?): Boolean {
    val affected = evidence.losses.mapTo(HashSet()) { it.organisation }
    return affected.size > 1 || digestOf(organisation) in affected
}

/**
 * Whether other suspect parts, which the request does not have, account for the losses of a part.
 * For example, a first part that many prompts begin with is lost at each endpoint that one of them
 * crashes. A single loss that only the part has makes no difference, since the report of it on the
 * other part may not have arrived yet.
 */
private fun isExplainedByOthers(
    crashes: CrashEvidence,
    part: PromptPartId,
    evidence: PartEvidence,
    requested: List<PromptPartId>
): Boolean {
    val explained = HashSet<EndpointStart>()
    for ((otherPart, other) in crashes.parts) {
        if (otherPart != part && otherPart !in requested && other.isSuspect) {
            explained += other.starts
        }
    }
    return evidence.starts.count { it !in explained } <= UNREPORTED_LOSSES
}

/** The time until the request may try the part again, or null if it may do so now. */
private fun waitFor(
    state: GatewayState,
    record: ForwardRecord,
    part: PromptPartId,
    evidence: PartEvidence
): Duration? {
    val now = state.common.now
    val turn = evidence.blockedUntil + TURN_TIME * turnOf(state, part)
    val isTried = state.requests.values.any {
        it.request != record.request && it.openAttempts.isNotEmpty() && part in it.head.promptParts
    }
    return when {
        now < evidence.blockedUntil -> maxOf(evidence.blockedUntil - now, RETRY_AFTER)
        now < turn || isTried -> TURN_TIME
        else -> null
    }
}

/** This gateway's place in the order in which the gateways try the part again, from 0. */
private fun turnOf(state: GatewayState, part: PromptPartId): Int {
    fun weightOf(host: HostId) = rendezvousWeightOfHashes(part.value, stableHash(host.value))
    val own = weightOf(state.common.node.host)
    return state.exchange.members.values.count {
        it.report.ready && weightOf(it.report.host) > own
    }
}

/** Replaces the evidence, and logs and counts the parts of which the suspicion changed. */
private fun GatewayState.withEvidence(next: CrashEvidence): Step<GatewayState> {
    val before = crashes
    if (next == before) return step()
    val changed = (before.parts.keys + next.parts.keys)
        .filter { before.parts[it] !== next.parts[it] }
    return copy(crashes = next).step()
        .thenEach(changed) { state, part ->
            logSuspicion(state, part, before.parts[part], next.parts[part])
        }
}

private fun logSuspicion(
    state: GatewayState,
    part: PromptPartId,
    before: PartEvidence?,
    evidence: PartEvidence?
): Step<GatewayState> {
    val until = evidence?.takeIf { it.isSuspect }?.blockedUntil
    val untilBefore = before?.takeIf { it.isSuspect }?.blockedUntil
    return when {
        until == untilBefore -> state.step()

        until == null -> state.step(logEffect(LogEvent.PROMPT_PART_CLEARED, "part" to part))

        else -> state.step(
            logEffect(
                LogEvent.PROMPT_PART_BLOCKED,
                "part" to part,
                "losses" to evidence.losses.size,
                "episodes" to evidence.episodes,
                "organisations" to evidence.losses.distinctBy { it.organisation }.size,
                "first_loss_ago" to (state.common.now - evidence.losses.first().lostAt),
                "blocked_for" to (until - state.common.now),
                "explained" to isExplainedByOthers(state.crashes, part, evidence, listOf(part))
            ),
            RuntimeEffect.Count(Metric.PROMPT_PARTS_BLOCKED, MetricLabels())
        )
    }
}

private fun startOf(attempt: Attempt) =
    EndpointStart(stableHash("${attempt.endpoint} ${attempt.startStamp}").toInt())

private fun digestOf(organisation: OrganisationId?) =
    OrganisationDigest(stableHash(organisation?.value.orEmpty()).toInt())

/** Time in which a first event may reach the caller although its endpoint is crashing. */
private val ANSWER_BEGINNING: Duration = 100.milliseconds

/** By so much the losses of two parts may differ that stand in the same requests. */
private const val UNREPORTED_LOSSES = 1

/** A crash after a new trial and the report of it usually take less. */
private val TURN_TIME: Duration = 2.seconds
