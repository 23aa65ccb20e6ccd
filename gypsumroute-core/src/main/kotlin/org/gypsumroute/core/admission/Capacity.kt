/*
 * Admission limits of an endpoint: memory, slots and prefill, by length class and warmth.
 */
package org.gypsumroute.core.admission

import kotlin.math.floor
import kotlin.time.Duration
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind
import org.gypsumroute.api.WorkOrder
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.RampContext
import org.gypsumroute.core.peers.lengthClass

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

/**
 * Position of the order's length class in the document. If the document has no class of this name,
 * because the entry uses another version of it, the class is chosen by the prompt's length.
 */
internal fun classIndex(document: ServiceDocument, order: WorkOrder): Int {
    val classes = document.lengthClasses
    val named = classes.indexOfFirst { it.name == order.lengthClass }
    if (named >= 0) return named
    val byLength = classes.indexOfFirst { order.promptTokens <= it.upTo }
    return if (byLength >= 0) byLength else maxOf(classes.lastIndex, 0)
}

/** The share of its capacity (0 to 1) that the endpoint offers to the document's service. */
internal fun AgentState.offeredShare(document: ServiceDocument): Double =
    warmth.share ?: initialShare(document)

/**
 * The share offered before the first completion. The ramp policy decides this share too, so that a
 * baseline policy can switch the ramp off.
 */
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

/** Number of slots on offer; at least one, so that a cold endpoint can warm up. */
internal fun AgentState.slotLimit(document: ServiceDocument): Int =
    maxOf(1, floorWithTolerance(document.limits.slotsPerEndpoint * offeredShare(document)))

/**
 * Engine memory in tokens that can still be reserved; negative while the engine is overcommitted.
 */
internal fun AgentState.freeMemory(): Long {
    val memory = engine.state?.memory ?: return 0
    return memory.count - ledger.reservedMemory.count - engine.unaccountedMemory.count
}

/** Whether the endpoint has the capacity for [demand] now. */
internal fun AgentState.fits(document: ServiceDocument, demand: Demand): Boolean =
    slotsFit(document, demand) &&
        (demand.plain || engineFits(document, demand)) &&
        !(demand.grouped && ledger.groupLeases > 0)

private fun AgentState.engineFits(document: ServiceDocument, demand: Demand): Boolean =
    memoryFits(document, demand) && prefillFits(document, demand)

private fun AgentState.slotsFit(document: ServiceDocument, demand: Demand): Boolean {
    val limit = slotLimit(document)
    val reservedShare = shareReservedForShorterClasses(document, demand.lengthClass)
    val classLimit = floorWithTolerance(limit * (1 - reservedShare))
    val slotFree =
        ledger.slotsInUse < limit && ledger.slotsFromClass(demand.lengthClass) < classLimit
    return ledger.slotsInUse == 0 || slotFree
}

private fun AgentState.memoryFits(document: ServiceDocument, demand: Demand): Boolean =
    demand.tokens.count <= freeMemory() &&
        ledger.memoryFromClass(demand.lengthClass).count + demand.tokens.count <=
        memoryOpenToClass(document, demand.lengthClass)

/**
 * Whether a cold engine may prefill the prompt: prompts in prefill may fill only the offered share
 * of its memory. A longer prompt is admitted only while the engine runs nothing else.
 */
private fun AgentState.prefillFits(document: ServiceDocument, demand: Demand): Boolean {
    val share = offeredShare(document)
    val memory = engine.state?.memory?.count ?: 0
    return share >= 1 || ledger.slotsInUse == 0 ||
        ledger.prefillingTokens.count + demand.prompt.count <= share * memory
}

/** Whether [demand] exceeds the memory that its class may use even of an idle engine. */
internal fun AgentState.neverFits(document: ServiceDocument, demand: Demand): Boolean =
    !demand.plain && demand.tokens.count > memoryOpenToClass(document, demand.lengthClass)

/** Memory in tokens for the class at [index] and longer ones; shorter classes keep the rest. */
private fun AgentState.memoryOpenToClass(document: ServiceDocument, index: Int): Long {
    val memory = engine.state?.memory?.count ?: 0
    val reservedShare = shareReservedForShorterClasses(document, index) * offeredShare(document)
    return floor(memory * (1 - reservedShare) + FLOOR_TOLERANCE).toLong()
}

private fun shareReservedForShorterClasses(document: ServiceDocument, index: Int): Double =
    document.lengthClasses.take(index).sumOf { it.reservedShare }

private fun floorWithTolerance(value: Double): Int = floor(value + FLOOR_TOLERANCE).toInt()

/** Added before rounding down, because products such as 10 * 0.3 can fall just below an integer. */
private const val FLOOR_TOLERANCE = 1e-6
