/*
 * Protects kinds of requests from being refused again and again.
 *
 * Requests are refused in an order by cost, which always ends with the same ones: those with the
 * longest prompts, or those of one organisation. Each of these groups is refused at most a limited
 * share of its recent requests; then the next request in the order is refused instead.
 */
package org.gypsumroute.core.gateway.admission

import kotlin.math.exp
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.core.gateway.attempts.ForwardRecord

/** A group of requests of which a limited share is refused. */
internal sealed interface RequestGroup {
    /** Requests whose prompts have about the same length. */
    data class OfSize(val magnitude: Int) : RequestGroup

    /** Requests of one organisation. */
    data class OfOrganisation(val organisation: OrganisationId) : RequestGroup
}

/** Recent requests under shortage, and refusals among them, by group. */
data class RefusalShares internal constructor(
    private val groups: PersistentMap<RequestGroup, GroupCounts>
) {
    constructor() : this(persistentMapOf())

    /** Counts a request that arrived under shortage. */
    fun withArrival(record: ForwardRecord, now: Moment): RefusalShares =
        add(record, now, arrivals = 1.0, refusals = 0.0)

    /** Counts a refusal under shortage. */
    fun withRefusal(record: ForwardRecord, now: Moment): RefusalShares =
        add(record, now, arrivals = 0.0, refusals = 1.0)

    /** Whether none of the request's groups would be refused too often. */
    fun mayRefuse(record: ForwardRecord, now: Moment): Boolean = groupsOf(record).all { group ->
        val counts = groups[group]?.at(now) ?: GroupCounts(now)
        counts.refusals + 1 <= counts.arrivals * MAX_REFUSED_SHARE
    }

    private fun add(
        record: ForwardRecord,
        now: Moment,
        arrivals: Double,
        refusals: Double
    ): RefusalShares {
        var next = groups
        for (group in groupsOf(record)) {
            val counts = next[group]?.at(now) ?: GroupCounts(now)
            val added = counts.copy(
                arrivals = counts.arrivals + arrivals,
                refusals = counts.refusals + refusals
            )
            next = next.put(group, added)
        }
        return RefusalShares(next)
    }

    private companion object {
        /** Serves every group more than half as often as all others together. */
        const val MAX_REFUSED_SHARE = 0.4

        /** Lengths of prompts in one group differ by a factor of up to four. */
        const val BITS_PER_MAGNITUDE = 2

        fun groupsOf(record: ForwardRecord): List<RequestGroup> {
            val bits = Long.SIZE_BITS - record.size.prompt.countLeadingZeroBits()
            val ofSize = RequestGroup.OfSize(bits / BITS_PER_MAGNITUDE)
            val organisation = record.organisation ?: return listOf(ofSize)
            return listOf(ofSize, RequestGroup.OfOrganisation(organisation))
        }
    }
}

/** Requests and refusals of a group, which count less with their age. */
internal data class GroupCounts(
    val asOf: Moment,
    val arrivals: Double = 0.0,
    val refusals: Double = 0.0
) {
    fun at(now: Moment): GroupCounts {
        val factor = exp(-((now - asOf) / TIME_CONSTANT))
        return GroupCounts(now, arrivals * factor, refusals * factor)
    }

    private companion object {
        /** About as long as a shortage lasts. */
        val TIME_CONSTANT = 30.seconds
    }
}
