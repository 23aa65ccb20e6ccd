/*
 * Everything that a process does, as data. Reducers name effects; the runtime carries them out.
 */
package org.gypsumroute.api

import kotlin.time.Duration

/** An output of the reducer. */
sealed interface Effect

/** Effects that the runtime carries out itself. */
sealed interface RuntimeEffect : Effect {
    /** Fires `TimerFired(timer)` after [after]; replaces a running timer of the same name. */
    data class SetTimer(val timer: TimerId, val after: Duration) : RuntimeEffect

    /** Stops a timer; an event already in the mailbox may still arrive. */
    data class CancelTimer(val timer: TimerId) : RuntimeEffect

    /** Writes a log line. */
    data class Log(val event: LogEvent, val fields: List<LogField> = emptyList()) : RuntimeEffect

    /** Adds to a counter. */
    data class Count(val metric: Metric, val labels: MetricLabels, val by: Long = 1) :
        RuntimeEffect

    /** Records a duration or size in the metric's unit (seconds, tokens or bytes). */
    data class Observe(val metric: Metric, val labels: MetricLabels, val value: Double) :
        RuntimeEffect

    /** Tells the readiness probe whether new requests are welcome. */
    data class SetReady(val ready: Boolean) : RuntimeEffect

    /** Ends the process with the given exit code after its connections are flushed. */
    data class Exit(val code: Int) : RuntimeEffect
}
