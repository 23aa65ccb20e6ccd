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
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.stableHash

/** The choice with the smallest predicted loss, or null without candidates. */
internal fun placeAtEngines(question: ForwardQuestion): ForwardChoice? {
    val figures = question.figures ?: return null
    return EnginePlacement(question, EngineModel(figures)).best()
}

/** One decision; engines compare alike for all gateways. */
private class EnginePlacement(
    private val question: ForwardQuestion,
    private val model: EngineModel
) {
    private val size = question.size
    private val readTime = model.readTime(Tokens(size.prompt))

    /** Whether the whole prompt can be read within one pass without harm to streams like it. */
    private val short = readTime + model.passTime(1, size.context) <= question.gap * SHORT_SHARE
    private val objective = question.objective.coerceAtLeast(SHORTEST)
    private val engines = question.candidates.map { Engine(it) }

    fun best(): ForwardChoice? {
        val alone = engines.minByOrNull { lossOf(listOf(it)) } ?: return null
        var chosen = listOf(alone)
        var loss = lossOf(chosen)
        if (!short || loss > WORTH_HELP * size.value) {
            for (count in 2..minOf(engines.size, MOST_READERS)) {
                val group = groupOf(count)
                val groupLoss = lossOf(group)
                if (groupLoss < loss) {
                    chosen = group
                    loss = groupLoss
                }
            }
        }
        return if (chosen.first().fits) choiceOf(chosen, emptyMap()) else acrossEngines()
    }

    /** The engines that read a part of this size with the least harm, the roomiest one first. */
    private fun groupOf(count: Int): List<Engine> {
        val readers = engines.sortedBy { it.readingLoss(readTime / count) }.take(count)
        val first = readers.minBy { it.runningLoss() }
        return listOf(first) + readers.filter { it !== first }
    }

    /** Holds the prompt in the memory of several engines; null if that of all is not enough. */
    private fun acrossEngines(): ForwardChoice? {
        val byRoom = engines.sortedByDescending { it.room }
        val first = byRoom.firstOrNull() ?: return null
        var missing = size.context - first.room
        val reserved = LinkedHashMap<EndpointId, Tokens>()
        for (engine in byRoom.drop(1)) {
            if (missing <= 0) break
            val taken = minOf(engine.room, missing)
            reserved[engine.candidate.record.id] = Tokens(taken)
            missing -= taken
        }
        if (missing > 0 || reserved.isEmpty()) return null
        val holders = byRoom.drop(1).take(reserved.size)
        val others = byRoom.drop(1 + reserved.size).sortedBy { it.readingLoss(Duration.ZERO) }
        val groups = (0..minOf(others.size, MOST_READERS - 1 - holders.size))
            .map { listOf(first) + holders + others.take(it) }
        return choiceOf(groups.minBy { lossOf(it) }, reserved)
    }

    private fun choiceOf(group: List<Engine>, reservations: Map<EndpointId, Tokens>) =
        ForwardChoice(
            endpoint = group.first().candidate.record.id,
            helpers = group.drop(1).map { it.candidate.record.id },
            readTime = readTime / group.size,
            firstByte = firstByte(group),
            reservations = reservations
        )

    private fun lossOf(group: List<Engine>): Double {
        val part = readTime / group.size
        val first = group.first()
        val harm = group.sumOf { it.harm(part) }
        return ownLoss(firstByte(group)) + harm + first.runningLoss() +
            group.sumOf { it.preference + it.failureLoss } + (group.size - 1) * HELPER_COST
    }

    private fun ownLoss(firstByte: Duration): Double = size.value * when {
        firstByte >= question.remaining -> 1.0
        else -> LATE_LOSS * lateShare(firstByte / objective)
    }

    private fun firstByte(group: List<Engine>): Duration {
        val part = readTime / group.size
        val passes = model.passesFor(size.prompt / group.size)
        return group.maxOf { it.load.pendingRead + part + it.pass * (passes - 1.0) } +
            group.first().let { it.pass * FIRST_PASSES + it.slotWait }
    }

    private inner class Engine(val candidate: ForwardCandidate) {
        val load: EngineLoad = candidate.load
        val pass: Duration =
            model.passTime(load.writers.coerceAtLeast(1), load.context + size.context)
        val failureLoss: Double = candidate.failureShare * size.value

        /** Tokens that still fit; a part of the memory stays free for streams that grow. */
        val room: Long = ((model.memory * FULL_MEMORY).toLong() - load.context).coerceAtLeast(0)
        val fits: Boolean = size.context <= room

        /** Wait for a slot if all are taken. */
        val slotWait: Duration = model.writeTime(TYPICAL_OUTPUT, pass) *
            ((load.open + 1.0 - model.slots).coerceAtLeast(0.0) / model.slots)

        /** Prefers the same engines at all gateways; a small number, which decides ties. */
        val preference: Double = preferenceOf()

        /** Credit of the engine's streams lost because a pass also reads [part]. */
        fun harm(part: Duration): Double {
            val before = pass + load.pendingRead
            val after = before + part
            return load.stakes.sumOf { stake ->
                val added = lateShare(after / stake.gap) - lateShare(before / stake.gap)
                stake.value * LATE_LOSS * added
            }
        }

        /** Loss of letting this engine read a part. */
        fun readingLoss(part: Duration): Double = harm(part) + failureLoss +
            size.value * READ_WAIT_COST *
            (load.pendingRead / question.objective.coerceAtLeast(SHORTEST))

        /** Loss of letting the request run here, beyond the reading. */
        fun runningLoss(): Double {
            val crowded = if (fits) 0.0 else size.value * CROWDED_LOSS
            val pauses = lateShare((pass + load.pendingRead * OVERLAP) / question.gap)
            return crowded + size.value * LATE_LOSS * pauses
        }

        private fun preferenceOf(): Double {
            val record = candidate.record
            val rank = Math.floorMod(stableHash(record.id.value), RANKS).toDouble() / RANKS
            val away = if (record.dataCentre == question.ownDataCentre) 0.0 else AWAY_COST
            val order = if (short) rank else 1 - rank
            val packed = if (short &&
                load.writers >= PACKED_SHARE * model.slots
            ) {
                PACKED_COST
            } else {
                0.0
            }
            return order * ORDER_COST + away + packed
        }
    }

    /** Share of streams that are late when the expected time is this share of the limit. */
    private fun lateShare(ratio: Double): Double =
        ((ratio - CERTAIN_IN_TIME) / (CERTAIN_LATE - CERTAIN_IN_TIME)).coerceIn(0.0, 1.0)

    private companion object {
        /** A prompt is short if its reading leaves that share of the pause to others. */
        const val SHORT_SHARE = 0.8

        /** Loss, as a share of the value, from which help with a short prompt is considered. */
        const val WORTH_HELP = 0.05

        /** The most engines that read one prompt: itself and as many helpers as a request names. */
        const val MOST_READERS = 17

        /** Share of the value that a late answer loses. */
        const val LATE_LOSS = 0.75
        const val CERTAIN_IN_TIME = 0.75
        const val CERTAIN_LATE = 1.15

        /** A first event comes after the rest of a pass and one of its own. */
        const val FIRST_PASSES = 1.5
        const val TYPICAL_OUTPUT = 1500L
        const val FULL_MEMORY = 0.95
        const val CROWDED_LOSS = 0.5

        /** Share of pending reads that falls into one pass of a new stream. */
        const val OVERLAP = 0.5
        const val READ_WAIT_COST = 0.05
        const val HELPER_COST = 0.004
        const val ORDER_COST = 0.01
        const val AWAY_COST = 0.003
        const val PACKED_SHARE = 0.7
        const val PACKED_COST = 0.02
        const val RANKS = 1024L
        val SHORTEST = 1.milliseconds
    }
}
