/*
 * What an endpoint can take on: memory, slots and prefill, by length class and warmth.
 */
package org.gypsumroute.core

import kotlin.math.floor
import kotlin.time.Duration
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind
import org.gypsumroute.api.WorkOrder

internal fun demandOf(document: ServiceDocument, order: WorkOrder): Demand {
    val plain = document.kind == ServiceKind.PLAIN
    val output = if (order.kind == WorkKind.SEGMENT) Tokens.ZERO else order.outputLimit
    return Demand(
        lengthClass = classIndex(document, order),
        prompt = if (plain) Tokens.ZERO else order.promptTokens,
        tokens = if (plain) Tokens.ZERO else order.promptTokens + output,
        grouped = order.group != null,
        plain = plain
    )
}

/** Position of the order's class; by length if the entry goes by another document version. */
internal fun classIndex(document: ServiceDocument, order: WorkOrder): Int {
    val classes = document.lengthClasses
    val named = classes.indexOfFirst { it.name == order.lengthClass }
    if (named >= 0) return named
    val byLength = classes.indexOfFirst { order.promptTokens <= it.upTo }
    return if (byLength >= 0) byLength else maxOf(classes.lastIndex, 0)
}

/** The share of its capacity that the endpoint offers to work of this document's service. */
internal fun AgentState.shareFor(document: ServiceDocument): Double =
    warmth.share ?: initialShare(document)

/** The ramp policy decides the first share too, so that a baseline can switch the ramp off. */
internal fun AgentState.initialShare(document: ServiceDocument): Double = common.policies.ramp(
    RampContext(
        rule = document.ramp,
        share = document.ramp.initialShare,
        completionsAtShare = 0,
        workAtShare = Duration.ZERO,
        elapsed = Duration.ZERO,
        warmEstimate = Duration.ZERO
    )
)

/** Slots on offer; one at least, so that a cold endpoint can warm up. */
internal fun AgentState.slotLimit(document: ServiceDocument): Int =
    maxOf(1, wholePart(document.limits.slotsPerEndpoint * shareFor(document)))

/** Engine memory that can still be reserved; negative while the engine is overfull. */
internal fun AgentState.freeMemory(): Long {
    val memory = engine.state?.memory ?: return 0
    return memory.count - ledger.reserved.count - engine.unexplained.count
}

/** Whether the endpoint can take on [demand] now. */
internal fun AgentState.fits(document: ServiceDocument, demand: Demand): Boolean =
    slotsFit(document, demand) &&
        (demand.plain || engineFits(document, demand)) &&
        !(demand.grouped && ledger.groups > 0)

private fun AgentState.engineFits(document: ServiceDocument, demand: Demand): Boolean =
    memoryFits(document, demand) && prefillFits(document, demand)

private fun AgentState.slotsFit(document: ServiceDocument, demand: Demand): Boolean {
    val limit = slotLimit(document)
    val forClass = wholePart(limit * (1 - shorterShare(document, demand.lengthClass)))
    val below = ledger.running < limit && ledger.slotsFrom(demand.lengthClass) < forClass
    return ledger.running == 0 || below
}

private fun AgentState.memoryFits(document: ServiceDocument, demand: Demand): Boolean =
    demand.tokens.count <= freeMemory() &&
        ledger.memoryFrom(demand.lengthClass).count + demand.tokens.count <=
        classMemory(document, demand.lengthClass)

/** A cold engine prefills only its share; a prompt above that only when it runs nothing else. */
private fun AgentState.prefillFits(document: ServiceDocument, demand: Demand): Boolean {
    val share = shareFor(document)
    val memory = engine.state?.memory?.count ?: 0
    return share >= 1 || ledger.running == 0 ||
        ledger.prefilling.count + demand.prompt.count <= share * memory
}

/** Whether [demand] exceeds what its class may use of an engine that runs nothing else. */
internal fun AgentState.neverFits(document: ServiceDocument, demand: Demand): Boolean =
    !demand.plain && demand.tokens.count > classMemory(document, demand.lengthClass)

/** Memory open to the class at [index] and longer ones; the rest is kept for shorter classes. */
private fun AgentState.classMemory(document: ServiceDocument, index: Int): Long {
    val memory = engine.state?.memory?.count ?: 0
    val kept = shorterShare(document, index) * shareFor(document)
    return floor(memory * (1 - kept) + ROUNDING).toLong()
}

private fun shorterShare(document: ServiceDocument, index: Int): Double =
    document.lengthClasses.take(index).sumOf { it.reservedShare }

private fun wholePart(value: Double): Int = floor(value + ROUNDING).toInt()

/** Keeps products such as 10 * 0.3 from falling just below the whole number. */
private const val ROUNDING = 1e-6
