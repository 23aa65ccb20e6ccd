package org.gypsumroute.core.gateway.admission

import kotlin.time.Duration
import org.gypsumroute.api.ServiceId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.ForwardRecord

/** The shortest objective of the service's routes; infinite if no route names it. */
internal fun urgentObjective(state: GatewayState, service: ServiceId): Duration =
    state.published.table?.shortestObjectives?.get(service) ?: Duration.INFINITE

/**
 * Whether the request's callers do not wait for much longer than the most urgent ones of the
 * service, according to the objectives that the operators set. Only the others wait under shortage.
 */
internal fun isUrgent(state: GatewayState, record: ForwardRecord): Boolean =
    record.route.objective <= urgentObjective(state, record.service) * URGENT_OBJECTIVE_RATIO

/**
 * Objectives up to this multiple of the shortest one leave too little time to wait: prompts that
 * arrive later delay a request by more than is predicted when it begins to wait.
 */
private const val URGENT_OBJECTIVE_RATIO = 20.0
