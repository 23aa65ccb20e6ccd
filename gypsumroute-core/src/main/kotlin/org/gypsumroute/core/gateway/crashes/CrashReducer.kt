/*
 * Requests whose prompt has a part that crashes endpoints: collects the evidence from the ends of
 * attempts and from the reports of other gateways.
 */
package org.gypsumroute.core.gateway.crashes

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.CrashReport
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EndpointStart
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationDigest
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.Attempt
import org.gypsumroute.core.gateway.attempts.ForwardRecord
import org.gypsumroute.core.logEffect
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
        "start" to attempt.startedAt?.milliseconds,
        "organisation" to record.organisation,
        "parts" to listOfParts(record.head.promptParts),
        "parts_in_all" to record.head.promptParts.size,
        "begun" to record.answerStarted,
        "open_beside" to (state.endpoints[attempt.endpoint]?.work?.size ?: 0),
        "sent_ago" to (now - attempt.sentAt)
    )
    return state.step(log).then {
        if (answering) {
            it.step()
        } else {
            val open = if (it.crashes.caution == null) {
                emptySet()
            } else {
                openParts(it, except = record.request)
            }
            it.withEvidence(it.crashes.withOwnLoss(record.head.promptParts, loss, open))
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

/** Begins with caution if the endpoints that were read first restarted one after the other. */
internal fun beginCautiously(state: GatewayState): Step<GatewayState> {
    val caution =
        cautionAfterRestarts(state.endpoints.values, state.startedAt, state.common.now)
            ?: return state.step()
    return state.copy(crashes = state.crashes.copy(caution = caution)).step(
        logEffect(LogEvent.CAUTION_STARTED, "until" to (caution.until - state.common.now))
    )
}

/** Ends the caution if another gateway is so much older that it knows what happened before. */
internal fun endCautionBeside(state: GatewayState, age: Duration): Step<GatewayState> {
    val isOlder = age - (state.common.now - Moment.START) > OLDER_GATEWAY
    if (state.crashes.caution == null || !isOlder) return state.step()
    return state.copy(crashes = state.crashes.copy(caution = null))
        .step(logEffect(LogEvent.CAUTION_ENDED, "member_age" to age))
}

/** Takes over what another gateway reported. */
internal fun reduceCrashReport(state: GatewayState, report: CrashReport): Step<GatewayState> =
    state.withEvidence(
        state.crashes.withReport(
            report,
            state.common.now,
            if (state.crashes.caution == null) emptySet() else openParts(state)
        )
    )

/** Replaces the evidence, and logs and counts the parts of which the suspicion changed. */
private fun GatewayState.withEvidence(next: CrashEvidence): Step<GatewayState> {
    val before = crashes
    if (next == before) return step()
    val changed = (before.parts.keys + next.parts.keys)
        .filter { before.parts[it] !== next.parts[it] }
        .filter { blockOf(before.parts[it]) != blockOf(next.parts[it]) }
    val (blocked, cleared) = changed.partition { blockOf(next.parts[it]) != null }
    val changedState = copy(crashes = next)
    return changedState
        .step(*cleared.take(MAX_LOGGED_PARTS).map(::clearedLog).toTypedArray())
        .thenEach(blocked.take(MAX_LOGGED_PARTS)) { state, part ->
            state.step(blockedLog(state, part, next.parts.getValue(part)))
        }
        .then { if (blocked.isEmpty()) it.step() else it.step(countBlocked(blocked.size)) }
}

/** Until when requests with a part are refused, or null if they are not. */
private fun blockOf(evidence: PartEvidence?): Moment? =
    evidence?.takeIf { it.isSuspect }?.blockedUntil

private fun clearedLog(part: PromptPartId): Effect =
    logEffect(LogEvent.PROMPT_PART_CLEARED, "part" to part)

private fun blockedLog(state: GatewayState, part: PromptPartId, evidence: PartEvidence): Effect =
    logEffect(
        LogEvent.PROMPT_PART_BLOCKED,
        "part" to part,
        "losses" to evidence.losses.size,
        "episodes" to evidence.episodes,
        "unproven" to evidence.unproven,
        "organisations" to evidence.losses.distinctBy { it.organisation }.size,
        "first_loss_ago" to (state.common.now - evidence.losses.first().lostAt),
        "blocked_for" to (evidence.blockedUntil - state.common.now),
        "proven" to state.crashes.isProven(part, state.common.now),
        "explained" to Explanations(state.crashes, state.common.now, setOf(part))
            .accountFor(part, evidence)
    )

private fun countBlocked(parts: Int): Effect =
    RuntimeEffect.Count(Metric.PROMPT_PARTS_BLOCKED, MetricLabels(), by = parts.toLong())

/** The last parts, which are the least widely shared ones. */
private fun listOfParts(parts: List<PromptPartId>): String =
    parts.takeLast(MAX_LOGGED_PARTS).joinToString(" ")

private fun startOf(attempt: Attempt) =
    EndpointStart(stableHash("${attempt.endpoint} ${attempt.startedAt?.milliseconds}").toInt())

internal fun digestOf(organisation: OrganisationId?) =
    OrganisationDigest(stableHash(organisation?.value.orEmpty()).toInt())

/** Gateways that are killed together start again within this time. */
private val OLDER_GATEWAY: Duration = 10.seconds

/** More parts at one time are only counted, so that the log stays short. */
private const val MAX_LOGGED_PARTS = 32

/** Time in which a first event may reach the caller although its endpoint is crashing. */
private val ANSWER_BEGINNING: Duration = 100.milliseconds
