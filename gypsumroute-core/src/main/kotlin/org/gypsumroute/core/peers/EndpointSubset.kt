/*
 * Selects the endpoints that an entry connects to.
 *
 * Every connection costs heartbeats, so in a large fleet an entry connects to a subset of the
 * endpoints. Each endpoint ranks the entries by rendezvous hashing and is in the subsets of those
 * it ranks highest, so that no endpoint is left without an entry and the choice changes little when
 * hosts are added or removed. In addition, each entry connects to some endpoints of every pool
 * within one data centre, because a group of endpoints must not span data centres.
 */
package org.gypsumroute.core.peers

import kotlin.math.max
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.NodeRole
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.map
import org.gypsumroute.core.rendezvousWeight
import org.gypsumroute.core.rendezvousWeightOfHashes
import org.gypsumroute.core.stableHash

/** The endpoints that this entry connects to: all of them if the fleet is small enough. */
internal fun chooseEndpoints(common: CommonState): List<HostRecord> {
    val (agents, entries) = common.hosts.values.filterNot { it.leaving }
        .partition { it.role == NodeRole.AGENT }
    if (agents.size <= common.timings.connectedEndpoints) return agents
    val ownHash = stableHash(common.node.host.value)
    val entryHashes = entries.map { stableHash(it.host.value) }
        .let { if (ownHash in it) it else it + ownHash }
    val affordableEntries = common.timings.connectedEndpoints * entryHashes.size / agents.size
    val entriesPerEndpoint = max(affordableEntries / 2, MIN_ENTRIES_PER_ENDPOINT)
    val byRank =
        agents.filter { ranksEntryAmongFirst(it, ownHash, entryHashes, entriesPerEndpoint) }
    val forGroups = agents.groupBy { it.pool }.values
        .flatMap { pool -> groupCandidates(common, pool) }
    return (byRank + forGroups).distinctBy { it.host }
}

/** Whether this entry is among the [entriesPerEndpoint] entries that the endpoint ranks highest. */
private fun ranksEntryAmongFirst(
    endpoint: HostRecord,
    ownHash: Long,
    entryHashes: List<Long>,
    entriesPerEndpoint: Int
): Boolean {
    val hash = stableHash(endpoint.host.value)
    val ownWeight = rendezvousWeightOfHashes(hash, ownHash)
    return entryHashes.count { rendezvousWeightOfHashes(hash, it) > ownWeight } < entriesPerEndpoint
}

/**
 * Some endpoints of a pool in one data centre, for groups: the entry's own data centre if the pool
 * has endpoints there, otherwise one chosen by rendezvous hashing.
 */
private fun groupCandidates(common: CommonState, pool: List<HostRecord>): List<HostRecord> {
    val ownHost = common.node.host.value
    val byDataCentre = pool.groupBy { it.dataCentre }
    val dataCentre = common.node.dataCentre.takeIf { it in byDataCentre }
        ?: byDataCentre.keys.maxBy { rendezvousWeight(ownHost, it.value) }
    return byDataCentre.getValue(dataCentre)
        .sortedByDescending { rendezvousWeight(ownHost, it.host.value) }
        .take(GROUP_ENDPOINTS_PER_POOL)
}

// At least three entries connect to each endpoint, so that it stays reachable if two entries fail
// at the same time.
private const val MIN_ENTRIES_PER_ENDPOINT = 3

// The longest prompts need more than twice the memory of one engine, hence three endpoints.
private const val GROUP_ENDPOINTS_PER_POOL = 3
