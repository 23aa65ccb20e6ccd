/*
 * The evidence about all parts that a gateway knows of, from its own requests and from reports of
 * other gateways. Its size is bounded, and it is forgotten with time.
 */
package org.gypsumroute.core.gateway.crashes

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.CrashReport
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationDigest
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.ReportedClearance
import org.gypsumroute.api.ReportedLoss
import org.gypsumroute.api.ReportedSuspicion
import org.gypsumroute.core.gateway.attempts.send

/** A part was in a complete answer at [at], which refuted [refuted] losses; [own] if seen here. */
data class Clearance(val at: Moment, val refuted: Int, val own: Boolean)

/**
 * [parts] holds what speaks against parts, and [clearances] when parts were found in complete
 * answers although there was evidence. [proofs] holds when parts were last in complete answers of
 * this gateway. [ownLosses] counts the losses that this gateway saw itself. [caution] is set for
 * some time if the gateway started after a series of restarts of endpoints.
 */
data class CrashEvidence(
    val parts: PersistentMap<PromptPartId, PartEvidence> = persistentMapOf(),
    val clearances: PersistentMap<PromptPartId, Clearance> = persistentMapOf(),
    val proofs: PersistentMap<PromptPartId, Moment> = persistentMapOf(),
    val ownLosses: Long = 0,
    val caution: CrashCaution? = null
) {
    /** Whether there is neither evidence against parts nor anything that refuted some. */
    val isEmpty: Boolean get() = parts.isEmpty() && clearances.isEmpty()

    /**
     * Whether [part] was in a complete answer lately, here or at a gateway that reported it. A part
     * that crashes endpoints is in none.
     */
    fun isProven(part: PromptPartId, now: Moment): Boolean {
        val provenAt = proofs[part]
        val clearedAt = clearances[part]?.at
        return (provenAt != null && now - provenAt < PROOF_TIME) ||
            (clearedAt != null && now - clearedAt < PROOF_TIME)
    }

    /**
     * Adds a loss that this gateway saw under these parts. Those of [openElsewhere] are being tried
     * at other endpoints, which will tell more about them.
     */
    fun withOwnLoss(
        lost: List<PromptPartId>,
        loss: EndpointLoss,
        openElsewhere: Set<PromptPartId> = emptySet()
    ): CrashEvidence = if (lost.isEmpty()) {
        this
    } else {
        copy(ownLosses = ownLosses + 1).withLosses(lost, listOf(loss))
            .withUnproven(lost, openElsewhere)
    }

    /** Clears the parts of a request that was served; it also shows that others can be served. */
    fun withServed(served: Collection<PromptPartId>, now: Moment): CrashEvidence {
        val proven = copy(caution = caution?.withServed()).withProofs(served, now)
        return if (parts.isEmpty()) proven else proven.withoutRefuted(served, now)
    }

    private fun withProofs(served: Collection<PromptPartId>, now: Moment): CrashEvidence {
        val older = served.filter { part -> proofs[part]?.let { now - it >= PROOF_AGE } != false }
        if (older.isEmpty()) return this
        val added = proofs.builder().apply { older.forEach { put(it, now) } }.build()
        return copy(proofs = added.bounded(naturalOrder()))
    }

    private fun withoutRefuted(served: Collection<PromptPartId>, now: Moment): CrashEvidence {
        val cleared = served.filter { it in parts }.fold(this) { next, part ->
            next.withClearance(part, Clearance(now, parts.getValue(part).losses.size, own = true))
        }.bounded()
        val left = cleared.parts.builder()
        for ((part, evidence) in cleared.parts) {
            if (evidence.othersServed <
                ENOUGH_OTHERS_SERVED
            ) {
                left[part] = evidence.withOtherServed()
            }
        }
        return cleared.copy(parts = left.build())
    }

    /**
     * Adds what another gateway reported. Parts of [open] are being tried by this gateway, which
     * will tell more about them.
     */
    fun withReport(
        report: CrashReport,
        now: Moment,
        open: Set<PromptPartId> = emptySet()
    ): CrashEvidence {
        if (report == CrashReport()) return this
        val cleared = report.clearances.fold(this) { next, reported ->
            val clearance = Clearance(now + -reported.ago, refuted = 0, own = false)
            reported.parts.fold(next) { current, part -> current.withClearance(part, clearance) }
        }
        return report.suspicions.fold(cleared) { next, reported ->
            next.withOwnProofsOf(reported).withSuspicion(reported, now)
                .withUnproven(reported.parts, open)
        }.bounded()
    }

    /**
     * The evidence that the other gateways need: the strongest, and what was refuted lately. What
     * does not fit into one report is in those with one of the next values of [turn].
     */
    fun reportAt(now: Moment, turn: Long = 0): CrashReport {
        if (isEmpty) return CrashReport()
        val suspicions = parts.entries
            .filter { (_, it) -> it.isSuspect || now - it.losses.last().lostAt < REPORTING_TIME }
            .groupBy({ it.value }, { it.key }).entries
            .sortedWith(compareByDescending(STRENGTH) { it.key })
        val refuted = clearances.entries
            .filter { (_, it) -> it.own && now - it.at < REPORTING_TIME }
            .groupBy({ it.value }, { it.key }).entries
            .sortedWith(compareByDescending(SIGNIFICANCE) { it.key })
        return CrashReport(
            selectForReport(suspicions, turn).map { (evidence, group) ->
                ReportedSuspicion(
                    partsForReport(group, suspicions.size, MAX_REPORTED_PARTS, turn),
                    evidence.othersServed,
                    evidence.mostTelling(MAX_REPORTED_LOSSES).map { reportOf(it, now) }
                )
            },
            selectForReport(refuted, turn).map { (clearance, group) ->
                ReportedClearance(
                    partsForReport(group, refuted.size, MAX_CLEARED_PARTS, turn),
                    now - clearance.at
                )
            }
        )
    }

    /** Forgets what is too old. */
    fun withoutExpired(now: Moment): CrashEvidence {
        val current = copy(caution = caution?.takeIf { now < it.until }).withoutOldProofs(now)
        return if (isEmpty) current else current.withoutExpiredParts(now)
    }

    private fun withoutOldProofs(now: Moment): CrashEvidence {
        val old = proofs.filterValues { now - it > PROOF_RETENTION }.keys
        return if (old.isEmpty()) {
            this
        } else {
            copy(
                proofs = proofs.builder().apply {
                    keys.removeAll(old)
                }.build()
            )
        }
    }

    private fun withoutExpiredParts(now: Moment): CrashEvidence {
        val keptParts = parts.builder()
        for ((part, evidence) in parts) {
            if (now - evidence.losses.last().lostAt > LOSS_RETENTION) keptParts.remove(part)
        }
        val keptClearances = clearances.builder()
        for ((part, clearance) in clearances) {
            if (now - clearance.at > CLEARANCE_RETENTION) keptClearances.remove(part)
        }
        return copy(parts = keptParts.build(), clearances = keptClearances.build())
    }

    private fun withLosses(
        lost: Collection<PromptPartId>,
        losses: List<EndpointLoss>,
        delay: Duration = Duration.ZERO
    ): CrashEvidence {
        val changed = parts.builder()
        for (part in lost) {
            val refutedAt = clearances[part]?.at
            for (loss in losses) {
                if (refutedAt != null && loss.lostAt <= refutedAt + delay) continue
                changed[part] = changed[part]?.plus(loss, delay) ?: PartEvidence(listOf(loss))
            }
        }
        return copy(parts = changed.build()).bounded()
    }

    /** Marks those of [lost] as unproven of which nothing tells that they are sound. */
    private fun withUnproven(
        lost: Collection<PromptPartId>,
        openElsewhere: Set<PromptPartId>
    ): CrashEvidence {
        val caution = caution ?: return this
        val changed = parts.builder()
        for (part in lost) {
            val evidence = parts[part]
            val hasProof = part in proofs || part in clearances || part in openElsewhere
            if (evidence == null || evidence.unproven || hasProof) continue
            val othersServed = maxOf(evidence.othersServed, caution.promptsServed)
            changed[part] = evidence.copy(unproven = true, othersServed = othersServed)
        }
        return copy(parts = changed.build())
    }

    private fun withClearance(part: PromptPartId, clearance: Clearance): CrashEvidence {
        val known = clearances[part]
        if (known != null && known.at >= clearance.at) return this
        val left = parts[part]?.after(clearance.at)
        return copy(
            parts = if (left == null) parts.remove(part) else parts.put(part, left),
            clearances = clearances.put(part, clearance)
        )
    }

    /** Forgets the weakest evidence and the oldest clearances if there are too many. */
    private fun bounded(): CrashEvidence = copy(
        parts = parts.bounded(STRENGTH),
        clearances = clearances.bounded(compareBy { it.at })
    )

    /** Lets the other gateways know of suspected parts that were in complete answers here. */
    private fun withOwnProofsOf(reported: ReportedSuspicion): CrashEvidence =
        reported.parts.fold(this) { next, part ->
            val provenAt = proofs[part] ?: return@fold next
            next.withClearance(part, Clearance(provenAt, reported.losses.size, own = true))
        }

    private fun withSuspicion(reported: ReportedSuspicion, now: Moment): CrashEvidence {
        val losses = reported.losses.map { lossOf(it, now) }
        if (losses.isEmpty()) return this
        val next = withLosses(reported.parts, losses, MAX_REPORT_DELAY)
        val starts = losses.map { it.start }
        val othersServed = reported.othersServed.coerceAtMost(ENOUGH_OTHERS_SERVED)
        val counted = next.parts.builder()
        for (part in reported.parts) {
            val evidence = counted[part] ?: continue
            // A count that began with a loss that was refuted since does not hold for the others.
            val noneRefuted = evidence.starts.containsAll(starts)
            if (noneRefuted && othersServed > evidence.othersServed) {
                counted[part] = evidence.copy(othersServed = othersServed)
            }
        }
        return next.copy(parts = counted.build())
    }

    private companion object {
        /** Evidence that is forgotten last: that of most losses, then the latest. */
        val STRENGTH: Comparator<PartEvidence> =
            compareBy<PartEvidence> { it.losses.size }.thenBy { it.losses.last().lostAt }

        /** Clearances that are reported first: of most losses, then the latest. */
        val SIGNIFICANCE: Comparator<Clearance> =
            compareBy<Clearance> { it.refuted }.thenBy { it.at }
    }
}

/** Removes the least entries if there are more than [MAX_ENTRIES], so many that room is left. */
private fun <V> PersistentMap<PromptPartId, V>.bounded(
    order: Comparator<V>
): PersistentMap<PromptPartId, V> {
    if (size <= MAX_ENTRIES) return this
    val left = builder()
    entries.sortedWith(compareBy(order) { it.value })
        .take(size - ENTRIES_AFTER_REMOVAL)
        .forEach { left.remove(it.key) }
    return left.build()
}

/** The first [items], which are always reported, and some of the others in turn. */
private fun <T> selectForReport(items: List<T>, turn: Long): List<T> = items.take(ALWAYS_REPORTED) +
    windowOf(items.drop(ALWAYS_REPORTED), MAX_REPORTED - ALWAYS_REPORTED, turn)

/** The parts of one of [groups] groups that share the room for [room] parts in a report. */
private fun partsForReport(
    group: List<PromptPartId>,
    groups: Int,
    room: Int,
    turn: Long
): List<PromptPartId> = windowOf(group, room / groups.coerceAtMost(MAX_REPORTED), turn)

/** At most [count] of [items], others for each [turn], so that all have their turn. */
internal fun <T> windowOf(items: List<T>, count: Int, turn: Long): List<T> {
    if (items.size <= count) return items
    val begin = Math.floorMod(turn * count, items.size.toLong()).toInt()
    return List(count) { items[(begin + it) % items.size] }
}

private fun reportOf(loss: EndpointLoss, now: Moment) =
    ReportedLoss(loss.start, loss.organisation, now - loss.sentAt, now - loss.lostAt)

private fun lossOf(reported: ReportedLoss, now: Moment) = EndpointLoss(
    reported.start,
    reported.organisation,
    now + -reported.sentAgo,
    now + -reported.lostAgo
)

/** More than the parts of several prompts whose headers are as long as callers may send them. */
internal const val MAX_ENTRIES = 8192
private const val ENTRIES_AFTER_REMOVAL = MAX_ENTRIES / 8 * 7

/** Groups of parts with equal evidence in one report, which has to fit into a datagram. */
internal const val MAX_REPORTED = 8
private const val ALWAYS_REPORTED = MAX_REPORTED / 2

/** Suspected parts of all groups in one report. */
private const val MAX_REPORTED_PARTS = 24

/** Cleared parts of all groups in one report. */
private const val MAX_CLEARED_PARTS = 16
private const val MAX_REPORTED_LOSSES = 4

/** Ages in a report are too low by its time on the way, which is not known. */
private val MAX_REPORT_DELAY: Duration = 1.seconds

/** Twenty reports: enough that one of them arrives. */
private val REPORTING_TIME: Duration = 10.seconds
private val LOSS_RETENTION: Duration = 20.minutes
private val CLEARANCE_RETENTION: Duration = 10.minutes

/** A part may begin to crash endpoints, for instance after a change of their software. */
private val PROOF_TIME: Duration = 1.minutes
private val PROOF_RETENTION: Duration = 10.minutes

/** A proof that is younger need not be renewed. */
private val PROOF_AGE: Duration = 1.seconds
