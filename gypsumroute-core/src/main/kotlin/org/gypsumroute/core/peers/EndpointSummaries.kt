/*
 * The summary of load and capacity that an agent sends to entries.
 */
package org.gypsumroute.core.peers

import kotlin.time.Duration
import org.gypsumroute.api.EndpointSummary
import org.gypsumroute.api.LengthClass
import org.gypsumroute.api.LengthClassName
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.admission.classIndex
import org.gypsumroute.core.admission.freeMemory
import org.gypsumroute.core.admission.isDraining
import org.gypsumroute.core.admission.offeredShare
import org.gypsumroute.core.admission.slotLimit
import org.gypsumroute.core.map

internal fun endpointSummary(state: AgentState): EndpointSummary {
    val document = servedDocument(state)
    val engine = state.engine.state
    return EndpointSummary(
        engineMemory = engine?.memory ?: Tokens.ZERO,
        freeMemory = Tokens(maxOf(state.freeMemory(), 0)),
        warmShare = document?.let { state.offeredShare(it) } ?: 0.0,
        runningStreams = state.ledger.slotsInUse,
        queued = state.queue.size,
        expectedWait = document?.let { expectedWait(state, it, Int.MAX_VALUE) } ?: Duration.ZERO,
        accepting = document != null && accepts(state, document)
    )
}

private fun accepts(state: AgentState, document: ServiceDocument): Boolean =
    !isDraining(state) && (document.kind == ServiceKind.PLAIN || serves(state, document))

private fun serves(state: AgentState, document: ServiceDocument): Boolean =
    state.engine.reachable && !state.orders.holdsBackWork && holdsModel(state, document)

internal fun holdsModel(state: AgentState, document: ServiceDocument): Boolean =
    document.model == null || document.model == state.engine.state?.loaded

/** Documents in force for this endpoint's pool, sorted by service name. */
internal fun poolDocuments(common: CommonState): List<ServiceDocument> =
    common.documents.accepted.values
        .map { it.document }
        .filter { !it.withdrawn && it.pool == common.node.pool }
        .sortedBy { it.service.value }

/**
 * The first document of the pool whose model the engine holds or that needs none; if there is no
 * such document, the pool's first.
 */
internal fun servedDocument(state: AgentState): ServiceDocument? {
    val documents = poolDocuments(state.common)
    return documents.find { holdsModel(state, it) } ?: documents.firstOrNull()
}

/**
 * Estimated queue wait of new work of the length class at [index]. Queued work of this class and of
 * shorter ones goes first, and each slot is held for the average hold time. While no work has ended
 * yet, the estimate is the time to prefill the prompts ahead: queued, granted and in prefill.
 */
internal fun expectedWait(state: AgentState, document: ServiceDocument, index: Int): Duration {
    val limit = state.slotLimit(document)
    val ahead = state.queue.mapNotNull { state.leases[it]?.order }
        .filter { classIndex(document, it) <= index }
    if (ahead.isEmpty() && state.ledger.slotsInUse < limit) return Duration.ZERO
    val holdTime = state.averageHoldTime
    if (holdTime != null) return holdTime * (ahead.size + 1) / limit
    val prompts = ahead.sumOf { it.promptTokens.count } + state.ledger.prefillingTokens.count
    return state.common.policies.prefillEstimate(Tokens(prompts), document.ramp)
}

internal fun lengthClass(document: ServiceDocument, index: Int): LengthClass =
    document.lengthClasses.getOrNull(index) ?: LengthClass(
        name = LengthClassName("all"),
        upTo = Tokens(Long.MAX_VALUE),
        reservedShare = 0.0,
        firstTokenObjective = document.deadline.longest,
        betweenTokensObjective = document.deadline.longest,
        objectiveShare = 0.0,
        longestWait = document.deadline.longest
    )
