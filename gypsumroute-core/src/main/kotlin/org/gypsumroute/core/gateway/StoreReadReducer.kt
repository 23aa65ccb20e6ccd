/*
 * When the store is read, and what failed reads mean.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.Revision
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then

/**
 * Requests the changes after the known revision, or all records if none is known or these changes
 * cannot be read.
 */
internal fun startRead(state: GatewayState): Step<GatewayState> {
    val published = state.published
    if (published.revision == Revision.NONE || published.reads.changesUnreadable) {
        return startFullRead(state)
    }
    val read = published.reads.latest.next()
    return withReads(state) { it.copy(latest = read) }
        .step(PublishedEffect.WatchChanges(read, published.revision, WATCH_WAIT))
}

/** Requests all records. */
internal fun startFullRead(state: GatewayState): Step<GatewayState> {
    val read = state.published.reads.latest.next()
    return withReads(state) { it.copy(latest = read) }.step(PublishedEffect.ReadSnapshot(read))
}

/** Notes that records were read, so that the changes after them are asked for next. */
internal fun withReadableChanges(state: GatewayState): GatewayState =
    withReads(state) { it.copy(changesUnreadable = false) }

/**
 * Requests the next changes after a wait, so that changes in quick succession arrive together. The
 * wait grows with the number of gateways, which all make the same calls to the store.
 */
internal fun readLater(state: GatewayState): Step<GatewayState> {
    val wait = (READ_SPACING_PER_GATEWAY * state.gatewayCount).coerceAtMost(MAX_READ_SPACING)
    return state.step(RuntimeEffect.SetTimer(TimerId.PublishedRead, wait))
}

/** Records that the store answered. */
internal fun noteStoreAnswer(state: GatewayState): Step<GatewayState> {
    val published = state.published
    val now = state.common.now
    val silence = now - published.reads.lastAnswerAt
    val answered = withReads(state) { it.copy(failures = 0, lastAnswerAt = now) }
        .step(RuntimeEffect.Observe(Metric.STORE_SILENCE, MetricLabels(), silence.toSeconds()))
    val isOutage = published.revision != Revision.NONE &&
        (!published.storeReachable || silence > MAX_SILENCE_WITHOUT_OUTAGE)
    if (!isOutage) return answered
    return answered.then { it.step(logEffect(LogEvent.STORE_REGAINED, "silent" to silence)) }
        .then { if (silence < it.bounds.endpointLapseTime) it.step() else retainLapsed(it) }
}

internal fun reduceReadFailed(
    state: GatewayState,
    event: PublishedEvent.ReadFailed
): Step<GatewayState> {
    val reads = state.published.reads
    val next = reads.copy(
        failures = reads.failures + 1,
        changesUnreadable = reads.changesUnreadable || !event.repeatable
    )
    val wait = (READ_BACKOFF_STEP * next.failures).coerceAtMost(MAX_READ_BACKOFF)
    val log = when {
        next.changesUnreadable && !reads.changesUnreadable -> LogEvent.CHANGES_UNREADABLE
        reads.failures == 0 -> LogEvent.STORE_LOST
        else -> null
    }
    val failed = withReads(state) { next }.step(
        RuntimeEffect.SetTimer(TimerId.PublishedRead, wait),
        logEffect(
            LogEvent.READ_FAILED,
            "failures" to next.failures,
            "silent" to (state.common.now - reads.lastAnswerAt),
            "revision" to state.published.revision,
            "cause" to event.cause
        )
    )
    return if (log == null) {
        failed
    } else {
        failed.then { it.step(logEffect(log, "cause" to event.cause)) }
    }
}

private inline fun withReads(
    state: GatewayState,
    change: (StoreReads) -> StoreReads
): GatewayState =
    state.copy(published = state.published.copy(reads = change(state.published.reads)))

/**
 * How long the store may wait for changes before it answers. Also the longest time for which an
 * unresponsive connection to the store goes unnoticed.
 */
private val WATCH_WAIT: Duration = 1500.milliseconds

private val READ_SPACING_PER_GATEWAY: Duration = 10.milliseconds

/** A small part of the time within which a change has to be in force. */
private val MAX_READ_SPACING: Duration = 400.milliseconds

/** A longer time between answers of the store counts as an outage. */
private val MAX_SILENCE_WITHOUT_OUTAGE: Duration = 3.seconds

/** The wait before the next read grows by this with each failed read in a row. */
private val READ_BACKOFF_STEP: Duration = 100.milliseconds
private val MAX_READ_BACKOFF: Duration = 500.milliseconds
