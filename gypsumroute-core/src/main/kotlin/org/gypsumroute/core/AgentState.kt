package org.gypsumroute.core

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.OrganisationId

/**
 * State of an agent.
 *
 * [leases] is what entries hold here, [ledger] is what the engine holds or has been promised; a
 * cancelled lease leaves [leases] at once and the ledger only on the engine's word. [queue] lists
 * waiting leases in order of arrival, [served] the weighted work granted to each organisation
 * since the queue was last empty, and [averageHoldTime] how long a slot is held on average.
 */
data class AgentState(
    override val common: CommonState,
    val actionSecret: ActionSecret,
    val leases: PersistentMap<LeaseId, Lease> = persistentMapOf(),
    val deadlines: LeaseDeadlines = LeaseDeadlines(),
    val ledger: Ledger = Ledger(),
    val queue: PersistentList<LeaseId> = persistentListOf(),
    val grantedWork: PersistentMap<OrganisationId, Double> = persistentMapOf(),
    val averageHoldTime: Duration? = null,
    val warmth: Warmth = Warmth(),
    val engine: EngineView = EngineView(),
    val orders: OrdersState = OrdersState(),
    val actions: ActionsState = ActionsState()
) : NodeState
