/*
 * Choice of a group's members and segments.
 */
package org.gypsumroute.core

import kotlin.math.ceil
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.Tokens

/** The smallest group of one data centre that holds the prompt, or null if there is none now. */
internal fun planGroup(
    state: EntryState,
    record: RequestRecord,
    document: ServiceDocument,
    candidates: List<PlacementCandidate>
): GroupPlan? = candidates.groupBy { it.record.dataCentre }.entries
    .sortedWith(
        compareBy({ it.key != state.common.node.dataCentre }, { -freeMemory(it.value) })
    )
    .firstNotNullOfOrNull { (dataCentre, all) ->
        val open = all.filter {
            it.record.host !in record.tried && it.summary?.accepting == true
        }
        val rule = document.group
        val cap = ceil(rule.dataCentreShare * all.size).toInt() - groupLeases(state, dataCentre)
        val most = minOf(rule.largestMembers, cap, open.size)
        val byRoom = open.sortedByDescending { it.summary?.freeMemory ?: Tokens.ZERO }
        (SMALLEST_GROUP..most).firstNotNullOfOrNull { size ->
            split(record, byRoom.take(size).sortedBy { it.record.host.value })
        }?.let { GroupPlan(dataCentre, it) }
    }

/** Even segments, if each fits its engine; the last member also holds the output. */
private fun split(record: RequestRecord, members: List<PlacementCandidate>): List<GroupMember>? {
    val prompt = record.promptNow.count
    val segments = members.mapIndexed { index, member ->
        val extra = if (index < prompt % members.size) 1 else 0
        GroupMember(member.record.host, Tokens(prompt / members.size + extra))
    }
    val fits = members.withIndex().all { (index, member) ->
        val output = if (index == members.lastIndex) record.outputLeft.count else 0
        val memory = member.summary?.engineMemory?.count ?: 0
        segments[index].tokens.count + output <= memory * USABLE_MEMORY
    }
    return segments.takeIf { fits }
}

private fun freeMemory(candidates: List<PlacementCandidate>): Long =
    candidates.sumOf { it.summary?.freeMemory?.count ?: 0 }

private fun groupLeases(state: EntryState, dataCentre: DataCentreId): Int =
    state.leases.values.count {
        it.groupSegment != null && state.common.hosts[it.host]?.dataCentre == dataCentre
    }

/** Share of an engine's memory that a single prompt may fill. */
internal const val USABLE_MEMORY = 0.9
private const val SMALLEST_GROUP = 2
