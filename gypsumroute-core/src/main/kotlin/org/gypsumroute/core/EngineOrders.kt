/*
 * Orders to the engine: which model it should hold, and when to tell it.
 *
 * Each agent computes its own assignment from documents and host list alone. It reads the engine
 * again right before an order; for engines that ignore fencing numbers, the time between that
 * read and the order stays open to an order of a paused predecessor.
 */
package org.gypsumroute.core

import kotlin.time.Duration
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.EngineModel
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId

/** The model that this endpoint should hold, or null if its pool has no generation service. */
internal fun assignedModel(common: CommonState): EngineModel? {
    val models = poolDocuments(common)
        .filter { it.kind == ServiceKind.GENERATION }
        .mapNotNull { it.model }
    return if (models.isEmpty()) null else models[poolRank(common) % models.size]
}

/** Rank of this endpoint among those of its pool and data centre that are not leaving. */
internal fun poolRank(common: CommonState): Int {
    val node = common.node
    val hosts = common.hosts.values.filter {
        it.role == NodeRole.AGENT && it.pool == node.pool && it.dataCentre == node.dataCentre &&
            !it.leaving
    }
    val key = "${node.pool}/${node.dataCentre}"
    val weight = { host: HostId -> rendezvousWeight(key, host.value) }
    val own = weight(node.host)
    return hosts.count { it.host != node.host && weight(it.host) > own }
}

/** Follows a state read: plans an order, gives the one that is due, or notes that it worked. */
internal fun advanceModelOrder(state: AgentState): Step<AgentState> {
    val report = state.engine.state ?: return state.step()
    val model = assignedModel(state.common)
    val orders = state.orders
    val now = state.common.now
    val unanswered = orders.unconfirmed != null && orders.lastOrderAt != null &&
        now - orders.lastOrderAt < state.common.timings.orderDwell
    return when {
        model == null || model == report.loaded || isDraining(state) ->
            state.copy(orders = orders.copy(holdsBackWork = false, unconfirmed = null)).step()

        unanswered -> state.step()

        orders.holdsBackWork -> if (isIdle(state)) sendModelOrder(state, model) else state.step()

        orders.scheduled -> state.step()

        else -> state.copy(orders = orders.copy(scheduled = true)).step(
            RuntimeEffect.SetTimer(TimerId.EngineOrder, orderDelay(state))
        )
    }
}

private fun isIdle(state: AgentState): Boolean =
    state.ledger.reservations.isEmpty() && state.engine.state?.streams?.isEmpty() == true

/** The dwell time limits changes; an engine that holds nothing waits only for its turn. */
private fun orderDelay(state: AgentState): Duration {
    val timings = state.common.timings
    val turn = timings.orderStagger * poolRank(state.common)
    val last = state.orders.lastOrderAt
    if (last == null || state.engine.state?.loaded == null) return turn
    return maxOf(timings.orderDwell - (state.common.now - last), Duration.ZERO) + turn
}

private fun sendModelOrder(state: AgentState, model: EngineModel): Step<AgentState> {
    val seen = state.engine.state?.highestFencing ?: state.orders.highestFencing
    val number = maxOf(seen, state.orders.highestFencing).next()
    val orders = state.orders.copy(
        unconfirmed = number,
        highestFencing = number,
        lastOrderAt = state.common.now
    )
    return state.copy(orders = orders).step(
        EngineEffect.LoadModel(model, number),
        logEffect(LogEvent.ENGINE_ORDER_GIVEN, "model" to model, "fencing" to number)
    )
}

/** The order's turn has come: keeps new work away and reads the engine once more. */
internal fun reduceOrderTimer(state: AgentState): Step<AgentState> {
    val model = assignedModel(state.common)
    val needed = model != null && model != state.engine.state?.loaded
    val orders = state.orders.copy(scheduled = false, holdsBackWork = needed)
    val next = state.copy(orders = orders)
    return if (needed) requestEngineState(next) else next.step()
}

/** A refused order is given again with a higher number after the next state read. */
internal fun reduceOrderAnswered(
    state: AgentState,
    event: EngineEvent.OrderAnswered
): Step<AgentState> {
    if (event.accepted || event.fencing != state.orders.unconfirmed) return state.step()
    return state.copy(orders = state.orders.copy(unconfirmed = null)).step(
        logEffect(
            LogEvent.ENGINE_ORDER_REFUSED,
            "fencing" to event.fencing,
            "cause" to event.cause
        )
    )
}
