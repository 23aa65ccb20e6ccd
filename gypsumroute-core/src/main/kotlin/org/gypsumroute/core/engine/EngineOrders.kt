/*
 * Orders to the engine to load a model: which model it should hold, and when the order is sent.
 *
 * Each agent computes its model from the documents and the host list alone. It reads the engine's
 * state again right before it sends an order. With engines that ignore fencing numbers, an order of
 * an earlier agent process that was paused can still arrive between that read and the order.
 */
package org.gypsumroute.core.engine

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
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.admission.isDraining
import org.gypsumroute.core.leases.requestEngineState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.peers.poolDocuments
import org.gypsumroute.core.rendezvousWeight
import org.gypsumroute.core.step

/** The model that this endpoint should hold, or null if its pool has no generation service. */
internal fun assignedModel(common: CommonState): EngineModel? {
    val models = poolDocuments(common)
        .filter { it.kind == ServiceKind.GENERATION }
        .mapNotNull { it.model }
    return if (models.isEmpty()) null else models[poolRank(common) % models.size]
}

/**
 * Rank of this endpoint, by rendezvous weight, among the endpoints of its pool in its data centre
 * that are not leaving.
 */
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

/**
 * Advances the model order after a state read: clears it if no model is assigned, the model is
 * loaded or the agent drains; schedules it; or sends a due order once the engine is idle. An order
 * without effect is sent again after the dwell time.
 */
internal fun advanceModelOrder(state: AgentState): Step<AgentState> {
    val report = state.engine.state ?: return state.step()
    val model = assignedModel(state.common)
    val orders = state.orders
    val now = state.common.now
    val awaitingEffect = orders.unconfirmed != null && orders.lastOrderAt != null &&
        now - orders.lastOrderAt < state.common.timings.orderDwell
    return when {
        model == null || model == report.loaded || isDraining(state) ->
            state.copy(orders = orders.copy(holdsBackWork = false, unconfirmed = null)).step()

        awaitingEffect -> state.step()

        orders.holdsBackWork -> if (isIdle(state)) sendModelOrder(state, model) else state.step()

        orders.scheduled -> state.step()

        else -> state.copy(orders = orders.copy(scheduled = true)).step(
            RuntimeEffect.SetTimer(TimerId.EngineOrder, orderDelay(state))
        )
    }
}

private fun isIdle(state: AgentState): Boolean =
    state.ledger.reservations.isEmpty() && state.engine.state?.streams?.isEmpty() == true

/**
 * Delay of an order. Endpoints of a pool take turns by rank, and two orders are at least the dwell
 * time apart; an engine that holds no model waits only for its turn.
 */
private fun orderDelay(state: AgentState): Duration {
    val timings = state.common.timings
    val turn = timings.orderStagger * poolRank(state.common)
    val last = state.orders.lastOrderAt
    if (last == null || state.engine.state?.loaded == null) return turn
    return maxOf(timings.orderDwell - (state.common.now - last), Duration.ZERO) + turn
}

private fun sendModelOrder(state: AgentState, model: EngineModel): Step<AgentState> {
    val engineHighest = state.engine.state?.highestFencing ?: state.orders.highestFencing
    val number = maxOf(engineHighest, state.orders.highestFencing).next()
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

/** Holds back new work when the order is due, and reads the engine's state once more. */
internal fun reduceOrderTimer(state: AgentState): Step<AgentState> {
    val model = assignedModel(state.common)
    val needed = model != null && model != state.engine.state?.loaded
    val orders = state.orders.copy(scheduled = false, holdsBackWork = needed)
    val next = state.copy(orders = orders)
    return if (needed) requestEngineState(next) else next.step()
}

/** Logs a refused order; the next state read sends it again with a higher fencing number. */
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
