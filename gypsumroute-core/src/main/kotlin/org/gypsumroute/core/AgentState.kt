package org.gypsumroute.core

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.core.actions.ActionSecret
import org.gypsumroute.core.actions.ActionsState
import org.gypsumroute.core.engine.EngineView
import org.gypsumroute.core.engine.OrdersState
import org.gypsumroute.core.engine.Warmth
import org.gypsumroute.core.leases.Lease
import org.gypsumroute.core.leases.LeaseDeadlines
import org.gypsumroute.core.leases.Ledger

/**
 * State of an agent.
 *
 * [leases] are those that entries hold at this agent. [ledger] is the capacity that the engine uses
 * or that is reserved for granted work; a cancelled lease leaves [leases] at once, and the ledger
 * only when the engine confirms the cancel. [queue] lists queued leases in order of arrival.
 * [grantedWork] is the weighted work granted to each organisation since the queue was last empty,
 * and [averageHoldTime] the average time for which work holds a slot.
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
