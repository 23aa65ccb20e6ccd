/*
 * Placement at engines by predicted loss.
 *
 * Every choice of one engine, or of several that read a prompt together, is priced by the credit
 * that is likely lost: of the request itself if its first byte comes late, and of the streams that
 * already write there if reading stretches a pass beyond the pauses that they bear.
 *
 * Short prompts fill engines one after the other in an order that all gateways share, long ones
 * start from its other end. So engines without short streams are left for long prompts, and no
 * message is needed to agree on them.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EngineProfile
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.stableHash

/** The choice with the smallest predicted loss, or null without candidates. */
internal fun placeAtEngines(
    question: ForwardQuestion,
    figures: EngineProfile,
    costs: PlacementCosts
): ForwardChoice? = EnginePlacement(question, EngineModel(figures), costs).best()

/** One decision. Times are in milliseconds. */
private class EnginePlacement(
    private val question: ForwardQuestion,
    private val model: EngineModel,
    private val costs: PlacementCosts
) {
    private val size = question.size
    private val value = size.value
    private val readTime = model.readTime(Tokens(size.prompt)).toMilliseconds()
    private val gap = question.gap.toMilliseconds()
    private val objective = question.objective.toMilliseconds().coerceAtLeast(1.0)
    private val remaining = question.remaining.toMilliseconds()

    /** Whether the whole prompt can be read within one pass without harm to streams like it. */
    private val short =
        readTime + model.passTime(1, size.context).toMilliseconds() <= gap * SHORT_SHARE
    private val engines = question.candidates
        .sortedBy { stableHash(it.record.id.value) }
        .mapIndexed { index, candidate ->
            Engine(candidate, index.toDouble() / question.candidates.size)
        }

    fun best(): ForwardChoice? {
        val alone = engines.minByOrNull { lossOf(listOf(it)) } ?: return null
        if (!alone.fits && engines.none { it.fits }) return acrossEngines()
        var chosen = listOf(alone)
        var loss = lossOf(chosen)
        if (!short || loss > WORTH_HELP * value) {
            for (count in 2..minOf(engines.size, MOST_READERS)) {
                val group = groupOf(count)
                val groupLoss = lossOf(group)
                if (groupLoss < loss) {
                    chosen = group
                    loss = groupLoss
                }
            }
        }
        return choiceOf(chosen, emptyMap())
    }

    /** The engines that read a part of this size with the least loss. */
    private fun groupOf(count: Int): List<Engine> {
        val part = readTime / count
        val first = engines.minBy { it.mainLoss(part) }
        engines.forEach { it.rating = it.helpLoss(part) }
        val helpers = engines.filter { it !== first }.sortedBy { it.rating }.take(count - 1)
        return listOf(first) + helpers
    }

    /** Holds the prompt in the memory of several engines; null if that of all is not enough. */
    private fun acrossEngines(): ForwardChoice? {
        val byRoom = engines.sortedByDescending { it.room }
        val first = byRoom.first()
        var missing = size.context - first.room
        val reserved = LinkedHashMap<EndpointId, Tokens>()
        for (engine in byRoom.drop(1)) {
            if (missing <= 0) break
            val taken = minOf(engine.room, missing)
            reserved[engine.id] = Tokens(taken)
            missing -= taken
        }
        if (missing > 0 || reserved.isEmpty()) return null
        val holders = byRoom.drop(1).take(reserved.size)
        val part = readTime / MOST_READERS
        val others = byRoom.drop(1 + reserved.size).sortedBy { it.helpLoss(part) }
        val groups = (0..minOf(others.size, MOST_READERS - 1 - holders.size))
            .map { listOf(first) + holders + others.take(it) }
        return choiceOf(groups.minBy { lossOf(it) }, reserved)
    }

    private fun choiceOf(group: List<Engine>, reservations: Map<EndpointId, Tokens>) =
        ForwardChoice(
            endpoint = group.first().id,
            helpers = group.drop(1).map { it.id },
            readTime = (readTime / group.size).milliseconds,
            firstByte = firstByte(group).milliseconds,
            reservations = reservations
        )

    private fun lossOf(group: List<Engine>): Double {
        val part = readTime / group.size
        val first = group.first()
        return ownLoss(firstByte(group)) + first.readingLoss(part) + first.runningLoss +
            group.sumOf { if (it === first) 0.0 else it.helpLoss(part) }
    }

    /** Grows with any wait, so that the shortest one is chosen also where all are too long. */
    private fun ownLoss(firstByte: Double): Double {
        val ratio = firstByte / objective
        val left = if (firstByte >= remaining) 1.0 else (ratio / costs.patience).coerceAtMost(1.0)
        return value * (
            costs.lateLoss * lateShare(ratio) + (1 - costs.lateLoss) * left * left
            )
    }

    private fun firstByte(group: List<Engine>): Double {
        val part = readTime / group.size
        val passes = model.passesFor(size.prompt / group.size)
        val first = group.first()
        val read = group.maxOf { engine ->
            val wait = if (engine === first) {
                (engine.pending + part) * engine.stretch
            } else {
                engine.helpPending + part
            }
            wait + engine.pass * (passes - 1)
        }
        return read + first.pass * costs.firstPasses + first.slotWait
    }

    /** Share of streams that are late when the expected time is this share of the limit. */
    private fun lateShare(ratio: Double): Double =
        ((ratio - costs.inTimeShare) / (costs.lateShare - costs.inTimeShare)).coerceIn(0.0, 1.0)

    /** [rank] is the place in the order that all gateways share, from 0 to 1. */
    private inner class Engine(candidate: ForwardCandidate, private val rank: Double) {
        val id: EndpointId = candidate.record.id
        private val load = candidate.load
        val pending: Double = candidate.backlog.total.toMilliseconds()
        val helpPending: Double = candidate.backlog.help.toMilliseconds()

        /** How much longer own prompts take because parts for others come in between. */
        val stretch: Double =
            1 / (1 - costs.helpWeight * candidate.backlog.helpShare.coerceAtMost(MOST_HELP))
        val pass: Double = model.passTime(load.decodingRequests + 1, load.context + size.context)
            .toMilliseconds()

        /** Tokens that still fit; a part of the memory stays free for streams that grow. */
        val room: Long = ((model.memory * FULL_MEMORY).toLong() - load.context).coerceAtLeast(0)
        val fits: Boolean = size.context <= room

        /** Wait for a slot if all are taken. */
        val slotWait: Double = costs.slotWait * model.writeTime(TYPICAL_OUTPUT, pass.milliseconds)
            .toMilliseconds() * (load.openRequests + 1.0 - model.slots).coerceAtLeast(0.0) /
            model.slots

        private val failureLoss: Double = candidate.failureShare * value
        private val preference: Double = preferenceOf(candidate.record.dataCentre)

        /** Loss of letting the request run here, beyond the reading. */
        val runningLoss: Double = (if (fits) 0.0 else value * CROWDED_LOSS) +
            value * costs.lateLoss * lateShare((pass + pending * costs.overlap) / gap)

        /** Last result of [helpLoss], for sorting. */
        var rating: Double = 0.0

        /** Loss of letting the request run here and read a part, with what its wait costs. */
        fun mainLoss(part: Double): Double = readingLoss(part) + runningLoss +
            value * costs.lateLoss * lateShare(((pending + part) * stretch + slotWait) / objective)

        /** Loss of reading a part for another engine, which own prompts have to wait for. */
        fun helpLoss(part: Double): Double = readingLoss(part) + costs.helper +
            costs.delay * load.delayCostPerSecond * part / MILLISECONDS

        /** Loss of letting this engine read a part that takes [part]. */
        fun readingLoss(part: Double): Double {
            val backlog = (pending + part) / MILLISECONDS
            val before = pending / MILLISECONDS
            return harm(part) + failureLoss + preference +
                costs.crowding * (backlog * backlog - before * before)
        }

        /** Credit of the engine's streams lost because a pass also reads [part]. */
        private fun harm(part: Double): Double {
            val before = pass + pending
            return load.gapTolerances.sumOf { tolerance ->
                val limit = tolerance.gap.toMilliseconds()
                val added = lateShare((before + part) / limit) - lateShare(before / limit)
                tolerance.value * costs.lateLoss * added
            }
        }

        /** A small number that prefers the same engines at all gateways. */
        private fun preferenceOf(dataCentre: DataCentreId): Double {
            val away = if (dataCentre == question.ownDataCentre) 0.0 else costs.away
            val full = short && load.decodingRequests >= costs.packedShare * model.slots
            return (if (short) rank else 1 - rank) * costs.order + away +
                (if (full) costs.packed else 0.0)
        }
    }

    private companion object {
        /** A prompt is short if its reading leaves that share of the pause to others. */
        const val SHORT_SHARE = 0.8

        /** Loss, as a share of the value, from which help with a short prompt is considered. */
        const val WORTH_HELP = 0.05

        /** The most engines that read one prompt: itself and as many helpers as a request names. */
        const val MOST_READERS = 17
        val TYPICAL_OUTPUT = Tokens(1500)
        const val FULL_MEMORY = 0.95
        const val CROWDED_LOSS = 0.5
        const val MOST_HELP = 0.9
        const val MILLISECONDS = 1000.0
    }
}
