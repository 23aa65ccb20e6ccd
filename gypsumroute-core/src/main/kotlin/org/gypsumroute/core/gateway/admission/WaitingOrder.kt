/*
 * The order of waiting requests: the first is sent first, the last is refused first.
 */
package org.gypsumroute.core.gateway.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ServiceId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.ForwardRecord
import org.gypsumroute.core.gateway.placement.toSeconds

/** Waiting requests of a service, or of all services, in the order in which they are sent. */
internal fun waitingInOrder(state: GatewayState, service: ServiceId? = null): List<ForwardRecord> =
    waitingRecords(state)
        .filter { service == null || it.service == service }
        .sortedWith(orderOf(state))

/** The waiting requests in any order. */
internal fun waitingRecords(state: GatewayState): List<ForwardRecord> =
    state.admission.waiting.mapNotNull { state.requests[it] }.filter { it.wait != null }

/**
 * Urgent requests come before others, organisations within their share before others, then the
 * higher value for the time of engines, then the earlier deadline.
 */
private fun orderOf(state: GatewayState): Comparator<ForwardRecord> {
    val bands = HashMap<RequestId, Int>()
    return compareBy<ForwardRecord> { it.priority }
        .thenBy { record -> bands.getOrPut(record.request) { excessBand(state, record) } }
        .thenByDescending { valuePerSecond(it) }
        .thenBy { it.deadline }
}

/** Organisations whose excess is about the same are ordered by the value of their requests. */
private fun excessBand(state: GatewayState, record: ForwardRecord): Int =
    (state.policies.organisationExcess(state, record) / EXCESS_BAND).toInt()

/** The request whose refusal costs callers least, among those that may be refused, or null. */
internal fun leastCostly(state: GatewayState, waiting: List<ForwardRecord>): ForwardRecord? {
    val now = state.common.now
    return waiting.lastOrNull { state.admission.refusals.mayRefuse(it, now) }
}

private fun valuePerSecond(record: ForwardRecord): Double {
    val work = record.wait?.work ?: Duration.ZERO
    return record.size.value / maxOf(work, SHORTEST_WORK).toSeconds()
}

/** Keeps the value per second finite for requests without a prompt. */
private val SHORTEST_WORK: Duration = 1.milliseconds

/** Width of a band, as a multiple of the share. */
private const val EXCESS_BAND = 0.5
