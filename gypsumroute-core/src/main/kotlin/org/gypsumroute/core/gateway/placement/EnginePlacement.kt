/*
 * Placement on engines by predicted loss.
 *
 * Each option, one engine or several that read (prefill) a prompt together, has a predicted loss of
 * value: of the request itself if its first byte is late, and of the streams that already decode on
 * those engines if the reading lengthens a pass beyond the pauses that they tolerate.
 *
 * Short prompts fill engines one after the other in an order that all gateways compute alike; long
 * prompts start from the other end of that order. This leaves engines without short streams for
 * long prompts, and the gateways agree on them without exchanging messages.
 *
 * With many gateways, reports come too late to keep several of them from choosing the same engine.
 * The order then has groups of neighbours, several engines for each request that is placed between
 * two reports, and each request prefers the engines of a group in a random order of its own.
 */
package org.gypsumroute.core.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EngineProfile
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.gateway.endpoints.AS_EXPECTED
import org.gypsumroute.core.stableHash
import org.gypsumroute.core.unitInterval

/** The choice with the smallest predicted loss, or null without candidates. */
internal fun placeAtEngines(
    input: ForwardPlacementInput,
    profile: EngineProfile,
    costs: PlacementCosts
): ForwardChoice? = EnginePlacement(input, EngineModel(profile), costs).best()

/** The placement of one request. Losses are in units of [RequestSize.value]. */
private class EnginePlacement(
    private val input: ForwardPlacementInput,
    private val model: EngineModel,
    private val costs: PlacementCosts
) {
    private val size = input.size
    private val value = size.value
    private val prefillMs = model.prefillTime(Tokens(size.prompt)).toMilliseconds()
    private val gapMs = input.gapObjective.toMilliseconds()
    private val objectiveMs = input.objective.toMilliseconds().coerceAtLeast(1.0)
    private val remainingMs = input.remaining.toMilliseconds()

    /**
     * Whether the whole prompt can be read within one pass without delaying streams that tolerate
     * the same pauses as this request.
     */
    private val isShort =
        prefillMs + model.passTime(1, size.context).toMilliseconds() <= gapMs * SHORT_PROMPT_SHARE
    private val groupSize = (input.unreportedRequests * ENGINES_PER_UNREPORTED_REQUEST)
        .coerceAtMost(input.candidates.size)
        .coerceAtLeast(1)
    private val engines = input.candidates
        .sortedBy { stableHash(it.record.id.value) }
        .mapIndexed { index, candidate -> Engine(candidate, rankOf(index, candidate)) }

    fun best(): ForwardChoice? {
        val single = engines.minByOrNull { predictedLoss(listOf(it)) } ?: return null
        if (!single.fits && engines.none { it.fits }) return splitAcrossMemory()
        var chosen = listOf(single)
        var loss = predictedLoss(chosen)
        if (!isShort || loss > MIN_LOSS_SHARE_FOR_HELPERS * value) {
            for (count in 2..minOf(engines.size, MAX_READERS)) {
                val group = groupOf(count)
                val groupLoss = predictedLoss(group)
                if (groupLoss < loss) {
                    chosen = group
                    loss = groupLoss
                }
            }
        }
        return choiceOf(chosen, emptyMap())
    }

    /** Position in the shared order, from 0 to 1; random within a group of neighbours. */
    private fun rankOf(index: Int, candidate: ForwardCandidate): Double {
        val begin = index / groupSize * groupSize
        val draw = unitInterval(stableHash(candidate.record.id.value) xor input.entropy)
        return (begin + draw * groupSize) / input.candidates.size
    }

    /**
     * The [count] engines that lose least if each reads an equal part of the prompt; the first runs
     * the request.
     */
    private fun groupOf(count: Int): List<Engine> {
        val partMs = prefillMs / count
        val first = engines.minBy { it.runAndReadLoss(partMs) }
        engines.forEach { it.sortLoss = it.helperLoss(partMs) }
        val helpers = engines.filter { it !== first }.sortedBy { it.sortLoss }.take(count - 1)
        return listOf(first) + helpers
    }

    /**
     * Spreads the prompt over the memory of several engines; null if the free memory of all that a
     * request can name is not enough.
     */
    private fun splitAcrossMemory(): ForwardChoice? {
        val byFreeMemory = engines.sortedByDescending { it.freeMemory }
        val first = byFreeMemory.first()
        var missing = size.context - first.freeMemory
        val reserved = LinkedHashMap<EndpointId, Tokens>()
        for (engine in byFreeMemory.drop(1).take(MAX_HELPERS)) {
            if (missing <= 0) break
            val tokens = minOf(engine.freeMemory, missing)
            reserved[engine.id] = Tokens(tokens)
            missing -= tokens
        }
        if (missing > 0 || reserved.isEmpty()) return null
        val holders = byFreeMemory.drop(1).take(reserved.size)
        val partMs = prefillMs / MAX_READERS
        val others = byFreeMemory.drop(1 + reserved.size).sortedBy { it.helperLoss(partMs) }
        val groups = (0..minOf(others.size, MAX_HELPERS - holders.size))
            .map { listOf(first) + holders + others.take(it) }
        return choiceOf(groups.minBy { predictedLoss(it) }, reserved)
    }

    private fun choiceOf(group: List<Engine>, reservations: Map<EndpointId, Tokens>) =
        ForwardChoice(
            endpoint = group.first().id,
            helpers = group.drop(1).map { it.id },
            prefillTime = (prefillMs / group.size).milliseconds,
            predictedFirstByte = predictedFirstByteMs(group).milliseconds,
            reservations = reservations,
            modelFirstByte = predictedFirstByteMs(group.map { it.atModelPace() }).milliseconds
        )

    private fun predictedLoss(group: List<Engine>): Double {
        val partMs = prefillMs / group.size
        val first = group.first()
        return requestLoss(predictedFirstByteMs(group)) + first.prefillLoss(partMs) +
            first.runningLoss +
            group.sumOf { if (it === first) 0.0 else it.helperLoss(partMs) }
    }

    /**
     * Loss of this request's own value. It grows with the expected wait beyond the objective too,
     * so that the shortest wait is chosen even if every choice is late.
     */
    private fun requestLoss(firstByteMs: Double): Double {
        val ratio = firstByteMs / objectiveMs
        val abandonment =
            if (firstByteMs >= remainingMs) 1.0 else (ratio / costs.abandonRatio).coerceAtMost(1.0)
        return value * (
            costs.lateLoss * lateProbability(ratio) +
                (1 - costs.lateLoss) * abandonment * abandonment
            )
    }

    private fun predictedFirstByteMs(group: List<Engine>): Double {
        val partMs = prefillMs / group.size
        val passes = model.prefillPasses(size.prompt / group.size)
        val first = group.first()
        val readMs = group.maxOf { engine ->
            val waitMs = if (engine === first) {
                (engine.pendingMs + engine.readMs(partMs)) * engine.helperSlowdown
            } else {
                engine.helperPendingMs + engine.readMs(partMs)
            }
            waitMs + engine.passMs * (passes - 1)
        }
        return readMs + first.passMs * costs.firstBytePasses + first.slotWaitMs
    }

    /** Share of streams that are late when the expected time is [ratio] times the limit. */
    private fun lateProbability(ratio: Double): Double =
        ((ratio - costs.inTimeRatio) / (costs.lateRatio - costs.inTimeRatio)).coerceIn(0.0, 1.0)

    /** [rank] is the position in the order that all gateways compute alike, from 0 to 1. */
    private inner class Engine(private val candidate: ForwardCandidate, private val rank: Double) {
        private val pace = candidate.pace
        val id: EndpointId = candidate.record.id
        private val load = candidate.load
        val pendingMs: Double = candidate.backlog.total.toMilliseconds() * pace
        val helperPendingMs: Double = candidate.backlog.helper.toMilliseconds() * pace

        /** Factor by which reading own prompts slows down because helper parts go first. */
        val helperSlowdown: Double =
            1 / (
                1 - costs.helperShareWeight *
                    candidate.backlog.helperShare.coerceAtMost(MAX_HELPER_SHARE)
                )
        val passMs: Double = model.passTime(load.decodingRequests + 1, load.context + size.context)
            .toMilliseconds() * pace

        /** Free memory in tokens, without a part that is left for streams that still grow. */
        val freeMemory: Long =
            ((model.memory * USABLE_MEMORY_SHARE).toLong() - load.context).coerceAtLeast(0)
        val fits: Boolean = size.context <= freeMemory

        /** Expected wait for a slot; 0 while one is free. */
        val slotWaitMs: Double = costs.slotWaitWeight *
            model.decodeTime(TYPICAL_OUTPUT, passMs.milliseconds).toMilliseconds() *
            (load.openRequests + 1.0 - model.slots).coerceAtLeast(0.0) / model.slots

        private val failureLoss: Double = candidate.failureRate * value
        private val preference: Double = preferenceCost(candidate.record.dataCentre)

        /** Loss of running the request here apart from reading: lack of memory and long pauses. */
        val runningLoss: Double = (if (fits) 0.0 else value * MEMORY_SHORTAGE_LOSS) +
            value * costs.lateLoss *
            lateProbability((passMs + pendingMs * costs.backlogOverlap) / gapMs)

        /** The same engine if its pace were as the model predicts. */
        fun atModelPace(): Engine =
            if (pace == AS_EXPECTED) this else Engine(candidate.copy(pace = AS_EXPECTED), rank)

        /** Time that this engine takes to read a part that the model reads in [partMs]. */
        fun readMs(partMs: Double): Double = partMs * pace

        /** Last result of [helperLoss], for sorting. */
        var sortLoss: Double = 0.0

        /** Loss of running the request here and reading a part, with the value lost to its wait. */
        fun runAndReadLoss(partMs: Double): Double = prefillLoss(partMs) + runningLoss +
            value * costs.lateLoss *
            lateProbability(
                ((pendingMs + readMs(partMs)) * helperSlowdown + slotWaitMs) / objectiveMs
            )

        /** Loss of reading a part for another engine, which delays this engine's own prompts. */
        fun helperLoss(partMs: Double): Double = prefillLoss(partMs) + costs.helperCost +
            costs.delayWeight * load.delayCostPerSecond * readMs(partMs) / MILLISECONDS_PER_SECOND

        /** Loss of reading a part for [partMs] milliseconds on this engine. */
        fun prefillLoss(partMs: Double): Double {
            val after = (pendingMs + readMs(partMs)) / MILLISECONDS_PER_SECOND
            val before = pendingMs / MILLISECONDS_PER_SECOND
            return streamLoss(partMs) + failureLoss + preference +
                costs.backlogCost * (after * after - before * before)
        }

        /** Value of the engine's streams that is lost because a pass is [partMs] longer. */
        private fun streamLoss(partMs: Double): Double {
            val before = passMs + pendingMs
            return load.gapTolerances.sumOf { tolerance ->
                val limitMs = tolerance.gap.toMilliseconds()
                val added =
                    lateProbability((before + readMs(partMs)) / limitMs) -
                        lateProbability(before / limitMs)
                tolerance.value * costs.lateLoss * added
            }
        }

        /** A small cost by which all gateways prefer the same engines. */
        private fun preferenceCost(dataCentre: DataCentreId): Double {
            val remote = if (dataCentre == input.ownDataCentre) 0.0 else costs.remoteDataCentreCost
            val nearlyFull = isShort && load.decodingRequests >= costs.nearlyFullShare * model.slots
            return (if (isShort) rank else 1 - rank) * costs.orderCost + remote +
                (if (nearlyFull) costs.nearlyFullCost else 0.0)
        }
    }

    private companion object {
        /** A prompt is short if reading it and a pass take at most this share of its gap. */
        const val SHORT_PROMPT_SHARE = 0.8

        /** Loss, as a share of the value, above which helpers are considered for short prompts. */
        const val MIN_LOSS_SHARE_FOR_HELPERS = 0.05

        /** With fewer, two of the requests would often choose the same engine. */
        const val ENGINES_PER_UNREPORTED_REQUEST = 4

        /** A request cannot name more helpers. */
        const val MAX_HELPERS = 16

        /** The endpoint and its helpers. */
        const val MAX_READERS = MAX_HELPERS + 1
        val TYPICAL_OUTPUT = Tokens(1500)
        const val USABLE_MEMORY_SHARE = 0.95

        /** Share of the value that is lost on an engine without memory for the request. */
        const val MEMORY_SHORTAGE_LOSS = 0.5
        const val MAX_HELPER_SHARE = 0.9
        const val MILLISECONDS_PER_SECOND = 1000.0
    }
}
