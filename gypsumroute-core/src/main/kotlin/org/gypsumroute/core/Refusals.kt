/*
 * Reasons to refuse work for as long as they last.
 */
package org.gypsumroute.core

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

/** Refuses queued work that can no longer be served here. */
internal fun refuseUnservable(state: AgentState): Step<AgentState> {
    if (state.queue.isEmpty()) return state.step()
    return state.step().thenEach(state.queue) { current, id ->
        val lease = current.leases[id]
        val failure = lease?.let { standingRefusal(current, it.order) }
        if (failure == null) current.step() else refuseQueued(current, lease, failure)
    }
}

/** Why this endpoint refuses the order whatever its load, or null. */
internal fun standingRefusal(state: AgentState, order: WorkOrder): Failure? {
    val document = state.common.documents.inForce(order.service)
    return when {
        document == null -> notRun(ErrorKind.SERVICE_UNKNOWN, "no document in force")

        document.pool != state.common.node.pool ->
            notRun(ErrorKind.NO_ENDPOINT, "the endpoint is not in the service's pool")

        document.kind != kindFor(order.kind) ->
            notRun(ErrorKind.SERVICE_KIND_MISMATCH, "the service is of kind ${document.kind}")

        state.common.node.dataCentre in document.dataCentresOut ->
            notRun(ErrorKind.DATA_CENTRE_OUT, "the document takes the data centre out")

        isDraining(state) -> notRun(ErrorKind.DRAINING, "the endpoint is leaving")

        document.kind == ServiceKind.GENERATION -> engineRefusal(state, document, order)

        else -> null
    }
}

private fun engineRefusal(
    state: AgentState,
    document: ServiceDocument,
    order: WorkOrder
): Failure? = when {
    !state.engine.reachable -> notRun(ErrorKind.NO_ENDPOINT, "the engine does not answer")

    state.orders.holdsBackWork || !holdsModel(state, document) ->
        notRun(ErrorKind.NO_ENDPOINT, "the engine does not hold the service's model")

    state.neverFits(document, demandOf(document, order)) ->
        notRun(ErrorKind.NO_ENDPOINT, "prompt and output exceed the engine's memory share")

    else -> null
}

internal fun isDraining(state: AgentState): Boolean =
    state.common.drain != DrainPhase.SERVING || isLeaving(state.common, state.common.node.host)

private fun kindFor(kind: WorkKind): ServiceKind = when (kind) {
    WorkKind.GENERATION, WorkKind.SEGMENT -> ServiceKind.GENERATION
    WorkKind.CALL, WorkKind.ACTION -> ServiceKind.PLAIN
}

private fun notRun(kind: ErrorKind, detail: String) =
    Failure(kind, detail, RunState.NOT_RUN, if (kind in LASTING) null else RETRY_AFTER)

/** Wait that a refused entry is advised to keep. */
internal fun Duration.retry(): Duration = maxOf(this, RETRY_AFTER)

private val RETRY_AFTER = 1.seconds
private val LASTING = setOf(ErrorKind.SERVICE_UNKNOWN, ErrorKind.SERVICE_KIND_MISMATCH)
