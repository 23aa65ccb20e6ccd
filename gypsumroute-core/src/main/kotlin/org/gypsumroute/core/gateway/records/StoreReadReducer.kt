/*
 * When the store is read, and what failed reads mean.
 *
 * One read is awaited at a time: a call that waits for changes, or for all records. If its answer
 * is overdue, another read starts on a new connection, and whichever answers first counts: a call
 * whose connection has died must not keep a change from being noticed in time, and a slow answer
 * must not be thrown away.
 */
package org.gypsumroute.core.gateway.records

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.Moment
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.ReadId
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.StorePosition
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.READ_OVERDUE
import org.gypsumroute.core.gateway.countRead
import org.gypsumroute.core.gateway.exchange.gatewayCount
import org.gypsumroute.core.gateway.placement.toSeconds
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then

/** Starts a read of the store unless one is awaited already. */
internal fun startReadUnlessAwaited(state: GatewayState): Step<GatewayState> =
    if (state.published.reads.awaited) state.step() else startRead(state)

/**
 * Requests the changes after the known position, or all records if none is known, the store is in
 * a later era, these changes cannot be read, or they do not suffice. After a failure the store is
 * not to wait for changes, so that its answer shows at once that it can be reached.
 */
internal fun startRead(state: GatewayState): Step<GatewayState> {
    val published = state.published
    val isFollowed = published.position != StorePosition.NONE && isOfLatestEra(state)
    val reads = published.reads
    if (!isFollowed || reads.changesUnreadable || reads.fullReadAfter != null) {
        return startFullRead(state)
    }
    val wait = if (published.storeReachable) watchTime(state) else Duration.ZERO
    return startAwaited(state, wait) { read ->
        PublishedEffect.WatchChanges(read, published.position, wait, !published.storeReachable)
    }
}

private fun startFullRead(state: GatewayState): Step<GatewayState> =
    startAwaited(state, wait = Duration.ZERO) { read ->
        PublishedEffect.ReadSnapshot(
            read,
            newConnection = !state.published.storeReachable,
            knownEra = state.published.reads.era
        )
    }

private inline fun startAwaited(
    state: GatewayState,
    wait: Duration,
    effect: (ReadId) -> PublishedEffect
): Step<GatewayState> {
    val read = state.published.reads.latest.next()
    val limit = wait + answerTime(state)
    return withReads(state) {
        it.copy(latest = read, awaited = true, latestAt = state.common.now, latestWait = wait)
    }.step(RuntimeEffect.SetTimer(TimerId.ReadOverdue, limit), effect(read))
}

/** Whether the store answered a watch without changes although it was to wait for them. */
internal fun answeredEarly(state: GatewayState, read: ReadId): Boolean {
    val reads = state.published.reads
    return read == reads.latest && state.common.now - reads.latestAt < reads.latestWait / 2
}

/** Notes an answer that brought records, or waited for them in vain. */
internal fun withFruitfulAnswer(state: GatewayState): GatewayState =
    withReads(state) { it.copy(fruitlessAnswers = 0) }

/**
 * Reads again after an answer that brought nothing: at once after the first in a row, since a full
 * read usually helps, and then after a wait that grows with their number.
 */
internal fun readAfterFruitless(state: GatewayState): Step<GatewayState> {
    val before = state.published.reads.fruitlessAnswers
    val counted = withReads(state) { it.copy(fruitlessAnswers = before + 1) }
    return when {
        counted.published.reads.awaited -> counted.step()
        before == 0 -> startRead(counted)
        else -> counted.step(RuntimeEffect.SetTimer(TimerId.PublishedRead, readBackoff(before)))
    }
}

private fun readBackoff(attempts: Int): Duration =
    (READ_BACKOFF_STEP * attempts).coerceAtMost(MAX_READ_BACKOFF)

/** Notes that changes do not suffice until a full read that begins from now on is taken over. */
internal fun requireFullRead(state: GatewayState): GatewayState =
    withReads(state) { it.copy(fullReadAfter = it.latest) }

/** Notes that a full read was taken over. */
internal fun withFullReadTaken(state: GatewayState, read: ReadId): GatewayState {
    val after = state.published.reads.fullReadAfter
    return if (after == null || read <= after) state else withAllRecords(state)
}

/** Notes that all records were taken over. */
internal fun withAllRecords(state: GatewayState): GatewayState =
    withReads(state) { it.copy(fullReadAfter = null) }

/** Notes that records were read, so that the changes after them are asked for next. */
internal fun withReadableChanges(state: GatewayState): GatewayState =
    withReads(state) { it.copy(changesUnreadable = false) }

/**
 * Requests the next changes after a wait, so that changes in quick succession arrive together. The
 * wait grows with the number of gateways, which all make the same calls to the store.
 */
internal fun readLater(state: GatewayState): Step<GatewayState> =
    state.step(RuntimeEffect.SetTimer(TimerId.PublishedRead, readSpacing(state)))

private fun readSpacing(state: GatewayState): Duration =
    (READ_SPACING_PER_GATEWAY * state.gatewayCount).coerceAtMost(MAX_READ_SPACING)

/** Time within which an answer of the store begins or goes on, beyond the wait for changes. */
private fun answerTime(state: GatewayState): Duration =
    (state.bounds.changeTime * ANSWER_FRACTION).coerceIn(MIN_ANSWER_TIME, MAX_ANSWER_TIME)

/**
 * How long the store may wait for changes before it answers. If a change comes just after a read,
 * and the call that waits for it is dead, the read after that one is still in time.
 */
private fun watchTime(state: GatewayState): Duration {
    val rest = state.bounds.changeTime - answerTime(state) - readSpacing(state) - REREAD_RESERVE
    return rest.coerceIn(MIN_WATCH_TIME, MAX_WATCH_TIME)
}

/** Records that the store answered this read. */
internal fun noteStoreAnswer(state: GatewayState, read: ReadId): Step<GatewayState> {
    val reads = state.published.reads
    val now = state.common.now
    val silence = reads.silenceAt(now)
    val answered = withReads(withoutAwaited(state, read)) {
        it.copy(failures = 0, lastAnswerAt = now)
    }
    val logs = listOfNotNull(
        silence?.let {
            RuntimeEffect.Observe(Metric.STORE_SILENCE, MetricLabels(), it.toSeconds())
        },
        logEffect(LogEvent.STORE_REGAINED, "silent" to silence).takeIf { reads.failures > 0 }
    )
    return Step(answered, logs).then { noteStoreHeard(it, now) }
}

/**
 * Records that the store answered some gateway at the time [at]. If it answered none for long
 * before that, records of live endpoints may have lapsed meanwhile. The silence of one gateway
 * alone does not mean that: it may be the only one that did not hear the store.
 */
internal fun noteStoreHeard(state: GatewayState, at: Moment): Step<GatewayState> {
    val before = state.published.reads.lastHeardAt
    if (before != null && at <= before) return state.step()
    val heard = withReads(state) { it.copy(lastHeardAt = at) }
    val isOutage = before != null && at - before >= state.bounds.endpointLapseTime
    return if (isOutage) retainLapsed(heard) else heard.step()
}

/** The store can be reached, but has only its records. */
internal fun reduceHistoryLost(
    state: GatewayState,
    event: PublishedEvent.HistoryLost
): Step<GatewayState> {
    val ended = withReads(withoutAwaited(state, event.read)) { it.copy(changesUnreadable = true) }
    return ended.step(
        logEffect(
            LogEvent.HISTORY_LOST,
            "revision" to ended.published.position.revision,
            "era" to event.era.era,
            "fruitless" to ended.published.reads.fruitlessAnswers + 1,
            "unchanged" to ended.published.appliedAt?.let { ended.common.now - it }
        )
    ).then { readAfterFruitless(it) }
}

/** The answer to a read has begun or goes on, so it is not overdue yet. */
internal fun reduceReadProgressed(
    state: GatewayState,
    event: PublishedEvent.ReadProgressed
): Step<GatewayState> {
    if (!isAwaited(state, event.read)) return state.step()
    return state.step(RuntimeEffect.SetTimer(TimerId.ReadOverdue, answerTime(state)))
}

/** Starts another read beside the one whose answer is overdue, which may still answer. */
internal fun reduceReadOverdue(state: GatewayState): Step<GatewayState> {
    if (!state.published.reads.awaited) return state.step()
    return noteFailure(state, "no answer in time", repeatable = true)
        .then { it.step(countRead(READ_OVERDUE)) }
        .then { startRead(it) }
        .then { readFromPeerIfNewer(it) }
}

/** Reads again after a wait, unless a later read is awaited. */
internal fun reduceReadFailed(
    state: GatewayState,
    event: PublishedEvent.ReadFailed
): Step<GatewayState> {
    if (!isAwaited(state, event.read)) {
        return if (event.repeatable) state.step() else noteUnreadable(state, event.cause)
    }
    return noteFailure(withoutAwaited(state, event.read), event.cause, event.repeatable).then {
        val wait = readBackoff(it.published.reads.failures)
        it.step(RuntimeEffect.SetTimer(TimerId.PublishedRead, wait))
    }
}

private fun noteFailure(
    state: GatewayState,
    cause: String,
    repeatable: Boolean
): Step<GatewayState> {
    val reads = state.published.reads
    val failed = withReads(state) { it.copy(failures = it.failures + 1) }.step(
        logEffect(
            LogEvent.READ_FAILED,
            "failures" to reads.failures + 1,
            "silent" to reads.silenceAt(state.common.now),
            "revision" to state.published.position.revision,
            "era" to reads.era,
            "cause" to cause
        )
    )
    return when {
        !repeatable -> failed.then { noteUnreadable(it, cause) }

        reads.failures == 0 -> failed.then {
            it.step(logEffect(LogEvent.STORE_LOST, "cause" to cause))
        }

        else -> failed
    }
}

/** Notes that the changes cannot be read, so that all records are asked for next. */
private fun noteUnreadable(state: GatewayState, cause: String): Step<GatewayState> {
    if (state.published.reads.changesUnreadable) return state.step()
    return withReads(state) { it.copy(changesUnreadable = true) }
        .step(logEffect(LogEvent.CHANGES_UNREADABLE, "cause" to cause))
}

private fun isAwaited(state: GatewayState, read: ReadId): Boolean =
    state.published.reads.awaited && state.published.reads.latest == read

private fun withoutAwaited(state: GatewayState, read: ReadId): GatewayState =
    if (isAwaited(state, read)) withReads(state) { it.copy(awaited = false) } else state

internal inline fun withReads(
    state: GatewayState,
    change: (StoreReads) -> StoreReads
): GatewayState =
    state.copy(published = state.published.copy(reads = change(state.published.reads)))

private val READ_SPACING_PER_GATEWAY: Duration = 10.milliseconds

/** A small part of the time within which a change has to be in force. */
private val MAX_READ_SPACING: Duration = 400.milliseconds

/** The wait before the next read grows by this with each failed or fruitless one in a row. */
private val READ_BACKOFF_STEP: Duration = 100.milliseconds
private val MAX_READ_BACKOFF: Duration = 500.milliseconds

/** Share of the time for a change in which the store has to answer. */
private const val ANSWER_FRACTION = 0.25
private val MIN_ANSWER_TIME: Duration = 200.milliseconds
private val MAX_ANSWER_TIME: Duration = 1.seconds
private val MIN_WATCH_TIME: Duration = 100.milliseconds
private val MAX_WATCH_TIME: Duration = 1500.milliseconds

/** Time for the read that follows one without an answer, and for applying what it returns. */
private val REREAD_RESERVE: Duration = 300.milliseconds
