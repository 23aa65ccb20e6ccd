/*
 * Metrics that a gateway records for requests, attempts and reads of the store.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.CallerDropCause
import org.gypsumroute.api.Effect
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.UnexpectedInput
import org.gypsumroute.core.gateway.attempts.CallerLeftStage
import org.gypsumroute.core.gateway.attempts.ForwardRecord
import org.gypsumroute.core.gateway.placement.toSeconds

/** Outcome of requests that were answered with an endpoint's failure. */
internal const val ENDPOINT_FAILED = "endpoint_failed"

/** Outcome of attempts that were given up because they were silent. */
private const val STALLED = "stalled"

/** Outcome of requests whose answer was passed on completely. */
internal const val SERVED = "served"

/** Counts an ended request and records its duration and the time to its first event. */
internal fun measureEnd(record: ForwardRecord, outcome: String, took: Duration): List<Effect> {
    val labels = labelsOf(record).copy(outcome = outcome)
    val service = MetricLabels(service = record.service)
    val firstEvent = record.firstEventAt?.let {
        RuntimeEffect.Observe(Metric.FIRST_TOKEN, service, (it - record.arrivedAt).toSeconds())
    }
    return listOfNotNull(
        RuntimeEffect.Count(Metric.REQUESTS, labels),
        RuntimeEffect.Observe(Metric.REQUEST_DURATION, service, took.toSeconds()),
        firstEvent
    )
}

/** Counts a request that was refused on arrival, without labels of service and organisation. */
internal fun countRefusal(outcome: String): Effect =
    RuntimeEffect.Count(Metric.REQUESTS, MetricLabels(outcome = outcome))

internal fun countRetry(record: ForwardRecord): Effect =
    RuntimeEffect.Count(Metric.RETRIES, MetricLabels(service = record.service))

internal fun countAttempt(record: ForwardRecord, outcome: AttemptOutcome): Effect =
    RuntimeEffect.Count(
        Metric.ATTEMPTS,
        MetricLabels(service = record.service, outcome = outcomeLabel(outcome))
    )

/** Counts an attempt that was given up because it was silent. */
internal fun countStall(record: ForwardRecord): Effect = RuntimeEffect.Count(
    Metric.ATTEMPTS,
    MetricLabels(service = record.service, outcome = STALLED)
)

/** Counts a caller that left before its answer was complete. */
internal fun countCallerLeft(stage: CallerLeftStage): Effect =
    RuntimeEffect.Count(Metric.CALLERS_LEFT, MetricLabels(outcome = stage.code))

/** Counts bytes of an endpoint that belong to no open request. */
internal fun countDroppedInput(input: UnexpectedInput): Effect =
    RuntimeEffect.Count(Metric.INPUT_DROPPED, MetricLabels(outcome = input.code))

internal fun countDroppedCaller(cause: CallerDropCause): Effect =
    RuntimeEffect.Count(Metric.CALLERS_DROPPED, MetricLabels(outcome = cause.code))

internal fun countRead(outcome: String): Effect =
    RuntimeEffect.Count(Metric.STORE_READS, MetricLabels(outcome = outcome))

internal fun readOutcome(event: PublishedEvent): String = when (event) {
    is PublishedEvent.SnapshotRead, is PublishedEvent.PeerRecordsRead -> "snapshot"
    is PublishedEvent.ChangesRead -> "changes"
    is PublishedEvent.HistoryLost -> "history_lost"
    is PublishedEvent.ReadFailed, is PublishedEvent.PeerReadFailed -> "failed"
    is PublishedEvent.ReadProgressed -> "progressed"
}

/** Outcome of reads of the store whose answer is overdue. */
internal const val READ_OVERDUE = "overdue"

/** Outcome of reads of the store that brought older records than those in force. */
internal const val READ_OUTDATED = "outdated"

private fun labelsOf(record: ForwardRecord) =
    MetricLabels(service = record.service, organisation = record.organisation)

private fun outcomeLabel(outcome: AttemptOutcome): String = when (outcome) {
    is AttemptOutcome.Completed -> "completed"
    is AttemptOutcome.Failed -> "failed"
    is AttemptOutcome.NotRun -> "not_run"
    is AttemptOutcome.NeverSent -> "never_sent"
    is AttemptOutcome.Lost -> "lost"
    is AttemptOutcome.Broken -> "broken"
}
