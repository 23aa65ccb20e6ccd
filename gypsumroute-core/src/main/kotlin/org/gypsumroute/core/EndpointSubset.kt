/*
 * Which endpoints an entry connects to.
 *
 * Connections cost heartbeats, so an entry of a large fleet has a subset. Each endpoint is in the
 * subsets of the entries that it ranks highest, so that none is left without an entry; rendezvous
 * hashing keeps the choice stable while hosts come and go. Besides, each entry has some endpoints
 * of every pool in one data centre, since a group of endpoints must not span data centres.
 */
package org.gypsumroute.core

import kotlin.math.max
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.NodeRole

/** The endpoints that this entry connects to: all of them in a small fleet. */
internal fun chooseEndpoints(common: CommonState): List<HostRecord> {
    val (agents, entries) = common.hosts.values.filterNot { it.leaving }
        .partition { it.role == NodeRole.AGENT }
    if (agents.size <= common.timings.connectedEndpoints) return agents
    val own = stableHash(common.node.host.value)
    val entryHashes = entries.map { stableHash(it.host.value) }
        .let { if (own in it) it else it + own }
    val share = common.timings.connectedEndpoints * entryHashes.size / agents.size
    val choices = max(share / 2, FEWEST_ENTRIES_PER_ENDPOINT)
    val ranking = agents.filter { ranksAmongFirst(it, own, entryHashes, choices) }
    val groups = agents.groupBy { it.pool }.values.flatMap { pool -> groupMembers(common, pool) }
    return (ranking + groups).distinctBy { it.host }
}

/** Whether the endpoint ranks this entry among its first [choices]. */
private fun ranksAmongFirst(
    endpoint: HostRecord,
    own: Long,
    entryHashes: List<Long>,
    choices: Int
): Boolean {
    val hash = stableHash(endpoint.host.value)
    val ownWeight = rendezvousWeightOfHashes(hash, own)
    return entryHashes.count { rendezvousWeightOfHashes(hash, it) > ownWeight } < choices
}

/** Endpoints of a pool in one data centre: the entry's own if it has the pool. */
private fun groupMembers(common: CommonState, pool: List<HostRecord>): List<HostRecord> {
    val own = common.node.host.value
    val byDataCentre = pool.groupBy { it.dataCentre }
    val dataCentre = common.node.dataCentre.takeIf { it in byDataCentre }
        ?: byDataCentre.keys.maxBy { rendezvousWeight(own, it.value) }
    return byDataCentre.getValue(dataCentre)
        .sortedByDescending { rendezvousWeight(own, it.host.value) }
        .take(GROUP_ENDPOINTS)
}

// Three entries reach each endpoint, so that two may fail at once without cutting it off.
private const val FEWEST_ENTRIES_PER_ENDPOINT = 3

// The longest prompts need more than twice one engine's memory.
private const val GROUP_ENDPOINTS = 3
