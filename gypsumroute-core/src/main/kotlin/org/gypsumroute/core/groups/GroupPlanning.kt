/*
 * Selects the members of a group and divides the prompt among them.
 */
package org.gypsumroute.core.groups

import kotlin.math.ceil
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.PlacementCandidate
import org.gypsumroute.core.admission.fits
import org.gypsumroute.core.requests.RequestRecord
import org.gypsumroute.core.requests.candidates

/**
 * The smallest group within one data centre whose memory can hold the prompt and its output, or
 * null if there is none now. The entry's own data centre is tried first, then those with the most
 * free memory.
 */
internal fun planGroup(
    state: EntryState,
    record: RequestRecord,
    document: ServiceDocument,
    candidates: List<PlacementCandidate>
): GroupPlan? = candidates.groupBy { it.hostRecord.dataCentre }.entries
    .sortedWith(
        compareBy({ it.key != state.common.node.dataCentre }, { -freeMemory(it.value) })
    )
    .firstNotNullOfOrNull { (dataCentre, all) ->
        val accepting = all.filter {
            it.hostRecord.host !in record.excludedHosts && it.summary?.accepting == true
        }
        val rule = document.group
        val allowedLeases =
            ceil(rule.dataCentreShare * all.size).toInt() - groupLeases(state, dataCentre)
        val maxMembers = minOf(rule.largestMembers, allowedLeases, accepting.size)
        val byFreeMemory = accepting.sortedByDescending { it.summary?.freeMemory ?: Tokens.ZERO }
        (MIN_GROUP_SIZE..maxMembers).firstNotNullOfOrNull { size ->
            splitPrompt(record, byFreeMemory.take(size).sortedBy { it.hostRecord.host.value })
        }?.let { GroupPlan(dataCentre, it) }
    }

/**
 * Divides the prompt into even segments, or returns null if one does not fit its engine. The last
 * member also holds the output.
 */
private fun splitPrompt(
    record: RequestRecord,
    members: List<PlacementCandidate>
): List<GroupMember>? {
    val prompt = record.nextPromptTokens.count
    val segments = members.mapIndexed { index, member ->
        val remainder = if (index < prompt % members.size) 1 else 0
        GroupMember(member.hostRecord.host, Tokens(prompt / members.size + remainder))
    }
    val fits = members.withIndex().all { (index, member) ->
        val output = if (index == members.lastIndex) record.remainingOutput.count else 0
        val memory = member.summary?.engineMemory?.count ?: 0
        segments[index].tokens.count + output <= memory * USABLE_MEMORY_SHARE
    }
    return segments.takeIf { fits }
}

private fun freeMemory(candidates: List<PlacementCandidate>): Long =
    candidates.sumOf { it.summary?.freeMemory?.count ?: 0 }

private fun groupLeases(state: EntryState, dataCentre: DataCentreId): Int =
    state.leases.values.count {
        it.groupSegment != null && state.common.hosts[it.host]?.dataCentre == dataCentre
    }

/** Share of an engine's memory (0 to 1) that a single prompt with its output may fill. */
internal const val USABLE_MEMORY_SHARE = 0.9
private const val MIN_GROUP_SIZE = 2
