/*
 * Everything that a process does, as data. Reducers return effects, and the runtime executes them.
 * Effects are grouped by what they act on; each group is a sealed interface.
 */
package org.gypsumroute.api

import kotlin.time.Duration

/** An output of the reducer. */
sealed interface Effect

/** Effects that the runtime executes itself. */
sealed interface RuntimeEffect : Effect {
    /**
     * Reports `TimerFired(timer)` after the time [after]; replaces a running timer of the same id.
     */
    data class SetTimer(val timer: TimerId, val after: Duration) : RuntimeEffect

    /** Stops a timer. A `TimerFired` that is already in the mailbox may still arrive. */
    data class CancelTimer(val timer: TimerId) : RuntimeEffect

    /** Writes a log line. */
    data class Log(val event: LogEvent, val fields: List<LogField> = emptyList()) : RuntimeEffect

    /** Adds [by] to a counter. */
    data class Count(val metric: Metric, val labels: MetricLabels, val by: Long = 1) :
        RuntimeEffect

    /** Records a duration or size in the metric's unit (seconds, tokens or bytes). */
    data class Observe(val metric: Metric, val labels: MetricLabels, val value: Double) :
        RuntimeEffect

    /** Sets whether the readiness probe reports that the process takes new requests. */
    data class SetReady(val ready: Boolean) : RuntimeEffect

    /** Ends the process with the given exit code after its connections are flushed. */
    data class Exit(val code: Int) : RuntimeEffect
}
