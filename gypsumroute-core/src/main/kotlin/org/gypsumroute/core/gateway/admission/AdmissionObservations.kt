/*
 * Log events and metrics of admission under shortage.
 */
package org.gypsumroute.core.gateway.admission

import kotlin.time.Duration
import org.gypsumroute.api.Effect
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.ForwardRecord
import org.gypsumroute.core.gateway.placement.toSeconds
import org.gypsumroute.core.logEffect

internal fun waitLog(state: GatewayState, record: ForwardRecord, room: ServiceRoom): Effect =
    logEffect(
        LogEvent.REQUEST_WAITS,
        "request" to record.head.callerRequestId,
        "route" to record.route.name,
        "expected_first_event" to record.wait?.choice?.predictedFirstByte,
        "backlog" to room.meanBacklog,
        "engines" to room.engines,
        "with_room" to room.withRoom,
        "waiting" to state.admission.waiting.size,
        "objective" to (record.arrivedAt + record.route.objective - state.common.now)
    )

internal fun shortageRefusalLog(
    state: GatewayState,
    record: ForwardRecord,
    kind: ErrorKind,
    detail: String
): Effect = logEffect(
    LogEvent.SHORTAGE_REFUSAL,
    "request" to record.head.callerRequestId,
    "route" to record.route.name,
    "kind" to kind.code,
    "detail" to detail,
    "expected_first_event" to record.wait?.choice?.predictedFirstByte,
    "backlog" to knownRoom(state, record.service)?.meanBacklog,
    "waiting" to state.admission.waiting.size,
    "waited" to (record.wait?.let { state.common.now - it.since } ?: Duration.ZERO),
    "remaining" to (record.deadline - state.common.now)
)

internal fun countWait(record: ForwardRecord): Effect =
    RuntimeEffect.Count(Metric.ADMISSION_WAITS, MetricLabels(service = record.service))

internal fun countShortageRefusal(record: ForwardRecord, kind: ErrorKind): Effect =
    RuntimeEffect.Count(
        Metric.SHORTAGE_REFUSALS,
        MetricLabels(service = record.service, outcome = kind.code)
    )

internal fun measureWait(record: ForwardRecord, end: WaitEnd, waited: Duration): Effect =
    RuntimeEffect.Observe(
        Metric.ADMISSION_WAIT,
        MetricLabels(service = record.service, outcome = end.code),
        waited.toSeconds()
    )
