/*
 * Refusals by an agent that do not depend on its load, such as an unknown service, an endpoint that
 * is draining, or an engine without the right model.
 */
package org.gypsumroute.core.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.RunState
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.Step
import org.gypsumroute.api.WorkKind
import org.gypsumroute.api.WorkOrder
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.drain.DrainPhase
import org.gypsumroute.core.peers.holdsModel
import org.gypsumroute.core.peers.isLeaving
import org.gypsumroute.core.step
import org.gypsumroute.core.thenEach

/** Refuses the queued work that this endpoint can no longer serve. */
internal fun refuseUnservable(state: AgentState): Step<AgentState> {
    if (state.queue.isEmpty()) return state.step()
    return state.step().thenEach(state.queue) { current, id ->
        val lease = current.leases[id]
        val failure = lease?.let { loadIndependentRefusal(current, it.order) }
        if (failure == null) current.step() else refuseQueued(current, lease, failure)
    }
}

/** Why this endpoint refuses the order whatever its load, or null if it does not. */
internal fun loadIndependentRefusal(state: AgentState, order: WorkOrder): Failure? {
    val document = state.common.documents.inForce(order.service)
    return when {
        document == null -> notRunFailure(ErrorKind.SERVICE_UNKNOWN, "no document in force")

        document.pool != state.common.node.pool ->
            notRunFailure(ErrorKind.NO_ENDPOINT, "the endpoint is not in the service's pool")

        document.kind != serviceKindFor(order.kind) ->
            notRunFailure(
                ErrorKind.SERVICE_KIND_MISMATCH,
                "the service is of kind ${document.kind}"
            )

        state.common.node.dataCentre in document.dataCentresOut ->
            notRunFailure(ErrorKind.DATA_CENTRE_OUT, "the document takes the data centre out")

        isDraining(state) -> notRunFailure(ErrorKind.DRAINING, "the endpoint is leaving")

        document.kind == ServiceKind.GENERATION -> engineRefusal(state, document, order)

        else -> null
    }
}

private fun engineRefusal(
    state: AgentState,
    document: ServiceDocument,
    order: WorkOrder
): Failure? = when {
    !state.engine.reachable -> notRunFailure(ErrorKind.NO_ENDPOINT, "the engine does not answer")

    state.orders.holdsBackWork || !holdsModel(state, document) ->
        notRunFailure(ErrorKind.NO_ENDPOINT, "the engine does not hold the service's model")

    state.neverFits(document, demandOf(document, order)) ->
        notRunFailure(ErrorKind.NO_ENDPOINT, "prompt and output exceed the engine's memory share")

    else -> null
}

internal fun isDraining(state: AgentState): Boolean =
    state.common.drain != DrainPhase.SERVING || isLeaving(state.common, state.common.node.host)

private fun serviceKindFor(kind: WorkKind): ServiceKind = when (kind) {
    WorkKind.GENERATION, WorkKind.SEGMENT -> ServiceKind.GENERATION
    WorkKind.CALL, WorkKind.ACTION -> ServiceKind.PLAIN
}

private fun notRunFailure(kind: ErrorKind, detail: String) = Failure(
    kind,
    detail,
    RunState.NOT_RUN,
    if (kind in KINDS_WITHOUT_RETRY) null else MIN_RETRY_AFTER
)

/** The retry delay advised after a refusal: this expected wait, but at least one second. */
internal fun Duration.asRetryAfter(): Duration = maxOf(this, MIN_RETRY_AFTER)

private val MIN_RETRY_AFTER = 1.seconds
private val KINDS_WITHOUT_RETRY = setOf(ErrorKind.SERVICE_UNKNOWN, ErrorKind.SERVICE_KIND_MISMATCH)
