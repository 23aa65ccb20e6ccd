/*
 * Which requests reach no endpoint because of a part of their prompt that crashes endpoints.
 *
 * A part is refused to the organisations whose requests lost endpoints, and to all once they are
 * several, so that no organisation can get a part of another refused by sending it itself. After
 * the time of the block one request may try the part again. The gateways take turns at that, since
 * they would otherwise all try at the same time.
 */
package org.gypsumroute.core.gateway.crashes

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.HostId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.ForwardRecord
import org.gypsumroute.core.gateway.attempts.RETRY_AFTER
import org.gypsumroute.core.gateway.attempts.endWithError
import org.gypsumroute.core.gateway.attempts.endWithHeldFailure
import org.gypsumroute.core.gateway.attempts.retryAfter
import org.gypsumroute.core.rendezvousWeightOfHashes
import org.gypsumroute.core.stableHash

/**
 * The part of the request for which it must reach no endpoint now, or null. Of several it is the
 * last one, since the first parts of prompts are the most widely shared.
 */
internal fun findBlockedPart(state: GatewayState, record: ForwardRecord): BlockedPart? {
    val known = state.crashes.parts
    if (known.isEmpty()) return null
    val requested = record.head.promptParts
    val suspects = requested.asReversed().filter { part ->
        known[part]?.let { it.isSuspect && appliesTo(it, record.organisation) } == true
    }
    if (suspects.isEmpty()) return null
    val explanations = Explanations(state.crashes, state.common.now, requested.toSet())
    return suspects.firstNotNullOfOrNull { part ->
        val evidence = known.getValue(part)
        val wait = if (explanations.accountFor(part, evidence)) {
            null
        } else {
            waitFor(state, record, part, evidence.blockedUntil)
        }
        wait?.let { BlockedPart(part, evidence, it) }
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

/** Whether a part of the request was lost, and nothing tells yet that it is sound. */
internal fun hasUnprovenPart(state: GatewayState, record: ForwardRecord): Boolean =
    state.crashes.caution != null &&
        record.head.promptParts.any { state.crashes.parts[it]?.unproven == true }

/** The parts of prompts of which this gateway has a request open, other than [except]. */
internal fun openParts(state: GatewayState, except: RequestId? = null): Set<PromptPartId> =
    state.requests.values
        .filter { it.request != except && it.openAttempts.isNotEmpty() }
        .flatMapTo(HashSet()) { it.head.promptParts }

/** The time until the request may try the part again, or null if it may do so now. */
private fun waitFor(
    state: GatewayState,
    record: ForwardRecord,
    part: PromptPartId,
    blockedUntil: Moment
): Duration? {
    val now = state.common.now
    val turn = blockedUntil + TURN_TIME * turnOf(state, part)
    val isTried = state.requests.values.any {
        it.request != record.request && it.openAttempts.isNotEmpty() && part in it.head.promptParts
    }
    return when {
        now < blockedUntil -> maxOf(blockedUntil - now, RETRY_AFTER)
        now < turn || isTried -> TURN_TIME
        now < blockedUntil + AMBIGUITY_TIME && isAmbiguous(state, record, part) -> TURN_TIME
        else -> null
    }
}

/**
 * Whether the end of an endpoint under the request would leave open which of its parts it was: the
 * one that is tried, or one that lost other endpoints and was in no answer lately.
 */
private fun isAmbiguous(state: GatewayState, record: ForwardRecord, tried: PromptPartId): Boolean {
    val known = state.crashes.parts
    val starts = known.getValue(tried).starts
    return record.head.promptParts.any { part ->
        val isOther = known[part]?.let { it.starts != starts } == true
        part != tried && isOther && !state.crashes.isProven(part, state.common.now)
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

/** A crash after a new trial and the report of it usually take less. */
private val TURN_TIME: Duration = 2.seconds

/** Parts that are always in requests together are tried together after this. */
private val AMBIGUITY_TIME: Duration = 30.seconds
