/*
 * The evidence about all parts that a gateway knows of, from its own requests and from reports of
 * other gateways. Its size is bounded, and it is forgotten with time.
 */
package org.gypsumroute.core.gateway

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

/** A part was in a complete answer at [at], which refuted [refuted] losses; [own] if seen here. */
data class Clearance(val at: Moment, val refuted: Int, val own: Boolean)

/**
 * [parts] holds what speaks against parts, and [clearances] when parts were found in complete
 * answers although there was evidence. [ownLosses] counts the losses that this gateway saw itself.
 */
data class CrashEvidence(
    val parts: PersistentMap<PromptPartId, PartEvidence> = persistentMapOf(),
    val clearances: PersistentMap<PromptPartId, Clearance> = persistentMapOf(),
    val ownLosses: Long = 0
) {
    val isEmpty: Boolean get() = parts.isEmpty() && clearances.isEmpty()

    /** Adds a loss that this gateway saw under these parts. */
    fun withOwnLoss(lost: List<PromptPartId>, loss: EndpointLoss): CrashEvidence {
        if (lost.isEmpty()) return this
        val counted = copy(ownLosses = ownLosses + 1)
        return lost.fold(counted) { next, part -> next.withLoss(part, loss) }
    }

    /** Clears the parts of a request that was served; it also shows that others can be served. */
    fun withServed(served: Collection<PromptPartId>, now: Moment): CrashEvidence {
        if (parts.isEmpty()) return this
        val cleared = served.filter { it in parts }.fold(this) { next, part ->
            next.withClearance(part, Clearance(now, parts.getValue(part).losses.size, own = true))
        }
        val left = cleared.parts.builder()
        for ((part, evidence) in cleared.parts) left[part] = evidence.withOtherServed()
        return cleared.copy(parts = left.build())
    }

    /** Adds what another gateway reported. */
    fun withReport(report: CrashReport, now: Moment): CrashEvidence {
        val cleared = report.clearances.take(MAX_REPORTED).fold(this) { next, reported ->
            val clearance = Clearance(now + -reported.ago, refuted = 0, own = false)
            next.withClearance(reported.part, clearance)
        }
        return report.suspicions.take(MAX_REPORTED).fold(cleared) { next, reported ->
            next.withSuspicion(reported, now)
        }
    }

    /** The evidence that the other gateways need: the strongest, and what was refuted lately. */
    fun reportAt(now: Moment): CrashReport {
        if (isEmpty) return CrashReport()
        val suspicions = parts.entries
            .filter { (_, it) -> it.isSuspect || now - it.losses.last().lostAt < REPORTING_TIME }
            .sortedWith(compareByDescending(STRENGTH) { it.value })
            .take(MAX_REPORTED)
        val refuted = clearances.entries
            .filter { (_, it) -> it.own && now - it.at < REPORTING_TIME }
            .sortedWith(compareByDescending(SIGNIFICANCE) { it.value })
            .take(MAX_REPORTED)
        return CrashReport(
            suspicions.map { (part, evidence) ->
                ReportedSuspicion(
                    part,
                    evidence.othersServed,
                    evidence.mostTelling(MAX_REPORTED_LOSSES).map { reportOf(it, now) }
                )
            },
            refuted.map { (part, clearance) -> ReportedClearance(part, now - clearance.at) }
        )
    }

    /** Forgets what is too old. */
    fun withoutExpired(now: Moment): CrashEvidence {
        if (isEmpty) return this
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

    private fun withLoss(
        part: PromptPartId,
        loss: EndpointLoss,
        delay: Duration = Duration.ZERO
    ): CrashEvidence {
        if (clearances[part]?.let { loss.lostAt <= it.at + delay } == true) return this
        val evidence = parts[part]?.plus(loss, delay) ?: PartEvidence(listOf(loss))
        return copy(parts = parts.put(part, evidence).bounded(STRENGTH))
    }

    private fun withClearance(part: PromptPartId, clearance: Clearance): CrashEvidence {
        val known = clearances[part]
        if (known != null && known.at >= clearance.at) return this
        val left = parts[part]?.after(clearance.at)
        return copy(
            parts = if (left == null) parts.remove(part) else parts.put(part, left),
            clearances = clearances.put(part, clearance).bounded(compareBy { it.at })
        )
    }

    private fun withSuspicion(reported: ReportedSuspicion, now: Moment): CrashEvidence {
        val losses = reported.losses.take(MAX_REPORTED_LOSSES).map { lossOf(it, now) }
        val next = losses.fold(this) { next, loss ->
            next.withLoss(reported.part, loss, MAX_REPORT_DELAY)
        }
        val evidence = next.parts[reported.part] ?: return next
        if (losses.isEmpty()) return next
        // A count that began with a loss that was refuted since does not hold for the others.
        val noneRefuted = evidence.starts.containsAll(losses.map { it.start })
        if (!noneRefuted || reported.othersServed <= evidence.othersServed) return next
        val counted = evidence.copy(
            othersServed = reported.othersServed.coerceAtMost(ENOUGH_OTHERS_SERVED)
        )
        return next.copy(parts = next.parts.put(reported.part, counted))
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

/** Removes the least entry if there are more than [MAX_ENTRIES]. */
private fun <V> PersistentMap<PromptPartId, V>.bounded(
    order: Comparator<V>
): PersistentMap<PromptPartId, V> =
    if (size <= MAX_ENTRIES) this else remove(entries.minWith(compareBy(order) { it.value }).key)

private fun reportOf(loss: EndpointLoss, now: Moment) =
    ReportedLoss(loss.start, loss.organisation, now - loss.sentAt, now - loss.lostAt)

private fun lossOf(reported: ReportedLoss, now: Moment) = EndpointLoss(
    reported.start,
    reported.organisation,
    now + -reported.sentAgo,
    now + -reported.lostAgo
)

private const val MAX_ENTRIES = 256
internal const val MAX_REPORTED = 8
private const val MAX_REPORTED_LOSSES = 4

/** Ages in a report are too low by its time on the way, which is not known. */
private val MAX_REPORT_DELAY: Duration = 1.seconds

/** Twenty reports: enough that one of them arrives. */
private val REPORTING_TIME: Duration = 10.seconds
private val LOSS_RETENTION: Duration = 20.minutes
private val CLEARANCE_RETENTION: Duration = 1.minutes
