/*
 * Reducer of the simulated engine: continuous batching with chunked prefill, a memory limit and
 * a cold phase after a start.
 *
 * While streams are open, one step runs per decode interval. It spends the prefill budget of the
 * time since the last step on the open streams, highest priority first and then in the order in
 * which they were opened, and generates one token for each stream whose prefill is complete.
 */
package org.gypsumroute.test

import org.gypsumroute.test.EngineSimulationEffect.Answer
import org.gypsumroute.test.EngineSimulationEffect.DropProgress
import org.gypsumroute.test.EngineSimulationEffect.ScheduleStep
import org.gypsumroute.test.EngineSimulationEffect.ShowProgress
import org.gypsumroute.test.EngineSimulationEffect.WithholdAnswer

/**
 * Applies one event to the simulated engine. After each event it checks whether the engine
 * collapses (memory overfull, or too many streams while cold) and records a report.
 */
fun reduceEngine(state: EngineSimulation, event: EngineSimulationEvent): EngineSimulationStep {
    val step = when (event) {
        is EngineSimulationEvent.Open -> open(state, event)

        is EngineSimulationEvent.Cancel -> cancel(state, event)

        is EngineSimulationEvent.Release -> release(state, event)

        is EngineSimulationEvent.Order -> order(state, event)

        is EngineSimulationEvent.StepDue -> advance(state, event.at)

        is EngineSimulationEvent.SetFaults -> state.copy(faults = event.faults).answer(event.callId)

        is EngineSimulationEvent.TurnCold ->
            state.copy(remainingColdTokens = event.tokens).answer(event.callId)
    }
    val checkedStep = collapseIfOverloaded(step, event.at)
    return checkedStep.copy(state = checkedStep.state.withReport(event.at))
}

/**
 * The report that readers get at [at]: the newest one that is at least
 * [EngineSettings.reportLag] old, or the oldest one if none is that old.
 */
fun EngineSimulation.visibleReport(at: Long): EngineReport {
    val newestVisibleAt = at - settings.reportLag.inWholeMilliseconds
    return reports.lastOrNull { it.at <= newestVisibleAt } ?: reports.firstOrNull() ?: report(at)
}

/** A report of the present state, without the report lag. */
fun EngineSimulation.report(at: Long): EngineReport = EngineReport(
    at = at,
    startId = startId,
    usedTokens = usedTokens,
    streams = streams.mapValues { it.value.heldTokens },
    handles = handles,
    loaded = loaded,
    role = role,
    highestFencing = highestFencing,
    cold = remainingColdTokens > 0,
    collapses = collapses
)

private fun EngineSimulation.withReport(at: Long): EngineSimulation {
    val newestVisibleAt = at - settings.reportLag.inWholeMilliseconds
    val firstNeeded = reports.indexOfLast { it.at <= newestVisibleAt }.coerceAtLeast(0)
    return copy(reports = reports.drop(firstNeeded) + report(at))
}

private fun open(state: EngineSimulation, event: EngineSimulationEvent.Open): EngineSimulationStep {
    val known = event.id in state.streams || event.id in state.endedStreams
    return when {
        event.at < state.readyAt -> state.answer(event.callId, STATUS_UNAVAILABLE, "not loaded yet")
        known -> state.answer(event.callId, STATUS_CONFLICT, "stream exists")
        else -> admit(state, event)
    }
}

private fun admit(
    state: EngineSimulation,
    event: EngineSimulationEvent.Open
): EngineSimulationStep {
    val cachedBlocks = event.prompt.blockDigests.takeWhile { it in state.cache }.size
    val cachedTokens =
        (cachedBlocks * PromptDigester.BLOCK_TOKENS).coerceAtMost(event.prompt.tokens)
    val silent = state.faults.silentStreams != 0
    val stream = SimulatedStream(
        id = event.id,
        promptTokens = event.prompt.tokens,
        outputLimit = event.outputLimit,
        priority = event.priority,
        export = event.export,
        silent = silent,
        blockDigests = event.prompt.blockDigests,
        openedAt = event.at,
        remainingPrefillTokens = event.prompt.tokens - cachedTokens,
        progress = StreamProgress(event.prompt.nextTokenNumber)
    )
    val next = state.copy(
        streams = state.streams + (event.id to stream),
        faults = state.faults.copy(
            silentStreams = decrementUnlessUnlimited(state.faults.silentStreams)
        ),
        lastStepAt = if (state.streams.isEmpty()) event.at else state.lastStepAt
    )
    val answer = Answer(event.callId, STATUS_OK, "", event.id)
    val effects = listOf(ShowProgress(event.id, stream.progress), answer)
    return EngineSimulationStep(next, effects).withNextStep()
}

private fun EngineSimulationStep.withNextStep(): EngineSimulationStep {
    if (state.stepPending || state.streams.isEmpty()) return this
    val schedule = ScheduleStep(state.settings.decodeInterval.inWholeMilliseconds)
    return EngineSimulationStep(state.copy(stepPending = true), effects + schedule)
}

private fun cancel(
    state: EngineSimulation,
    event: EngineSimulationEvent.Cancel
): EngineSimulationStep {
    if (state.faults.lostCancels != 0) {
        val faults = state.faults.copy(
            lostCancels = decrementUnlessUnlimited(state.faults.lostCancels)
        )
        return EngineSimulationStep(
            state.copy(faults = faults),
            listOf(WithholdAnswer(event.callId))
        )
    }
    val running = state.streams[event.id]
    val progressUpdate = running?.let {
        listOf(ShowProgress(it.id, it.progress.copy(outcome = StreamOutcome.Failed("cancelled"))))
    }
    return EngineSimulationStep(
        state.copy(
            streams = state.streams - event.id,
            endedStreams = state.endedStreams - event.id
        ),
        progressUpdate.orEmpty() + DropProgress(event.id) +
            Answer(event.callId, STATUS_OK, "cancelled")
    )
}

private fun release(
    state: EngineSimulation,
    event: EngineSimulationEvent.Release
): EngineSimulationStep {
    val handles = state.handles - event.handle
    return state.copy(handles = handles).answer(event.callId)
}

private fun order(
    state: EngineSimulation,
    event: EngineSimulationEvent.Order
): EngineSimulationStep {
    if (state.settings.enforceFencing && event.fencing < state.highestFencing) {
        return state.answer(event.callId, STATUS_CONFLICT, "stale fencing number")
    }
    val fenced = state.copy(
        highestFencing = maxOf(state.highestFencing, event.fencing),
        role = event.role ?: state.role
    )
    if (event.load == null || event.load == state.loaded) return fenced.answer(event.callId)
    val withoutStreams = dropStreams(fenced, "a model was loaded")
    val loading = withoutStreams.state.copy(
        loaded = event.load,
        readyAt = event.at + state.settings.loadTime.inWholeMilliseconds,
        remainingColdTokens = state.settings.coldTokens,
        cache = emptySet()
    )
    return EngineSimulationStep(
        loading,
        withoutStreams.effects + Answer(event.callId, STATUS_OK, "loading")
    )
}

private fun advance(state: EngineSimulation, at: Long): EngineSimulationStep {
    val due = state.copy(lastStepAt = at, stepPending = false)
    val prefilled = prefill(due, at - state.lastStepAt)
    return decode(prefilled, at).withNextStep()
}

private fun prefill(state: EngineSimulation, elapsed: Long): EngineSimulation {
    val rate = state.settings.prefillTokensPerSecond
    val slowdown = if (state.remainingColdTokens > 0) state.settings.coldSlowdown else 1.0
    var budget = (rate * elapsed / MILLISECONDS_PER_SECOND / slowdown).toLong().coerceAtLeast(1)
    var spent = 0L
    val streams = state.streams.toMutableMap()
    state.streams.values
        .filter { it.remainingPrefillTokens > 0 }
        .sortedWith(compareByDescending<SimulatedStream> { it.priority }.thenBy { it.openedAt })
        .forEach {
            val done = minOf(budget, it.remainingPrefillTokens)
            budget -= done
            spent += done
            streams[it.id] = it.copy(remainingPrefillTokens = it.remainingPrefillTokens - done)
        }
    val cold = (state.remainingColdTokens - spent).coerceAtLeast(0)
    return state.copy(streams = streams, remainingColdTokens = cold)
}

private fun decode(state: EngineSimulation, at: Long): EngineSimulationStep {
    var next = state
    val effects = mutableListOf<EngineSimulationEffect>()
    for (stream in state.streams.values) {
        if (stream.remainingPrefillTokens > 0 || stream.silent) continue
        if (stream.progress.producedTokens == 0) {
            next = next.withCachedBlocks(stream.blockDigests, at)
        }
        val decoded = decodeOne(next, stream)
        next = decoded.state
        effects += ShowProgress(stream.id, decoded.progress)
    }
    return EngineSimulationStep(
        next.withoutOldestEndedStreams(),
        effects + dropOldestProgress(next)
    )
}

/** The engine's state after one step of a stream, and the progress of that stream. */
private data class DecodedStep(val state: EngineSimulation, val progress: StreamProgress)

private fun decodeOne(state: EngineSimulation, stream: SimulatedStream): DecodedStep {
    if (stream.export) {
        val handle = "kv-${state.startId}-${state.handleCounter}"
        val outcome = StreamOutcome.Exported(handle, stream.promptTokens)
        val progress = stream.progress.copy(outcome = outcome)
        val next = state.copy(
            handles = state.handles + (handle to stream.promptTokens),
            handleCounter = state.handleCounter + 1
        )
        return DecodedStep(next.withEndedStream(stream.id, progress), progress)
    }
    val producedTokens = minOf(stream.progress.producedTokens + 1, stream.outputLimit)
    val ended = producedTokens >= stream.outputLimit
    val outcome = if (ended) StreamOutcome.Ended else null
    val progress = stream.progress.copy(producedTokens = producedTokens, outcome = outcome)
    val running = stream.copy(progress = progress)
    return if (ended) {
        DecodedStep(state.withEndedStream(stream.id, progress), progress)
    } else {
        DecodedStep(state.copy(streams = state.streams + (stream.id to running)), progress)
    }
}

private fun EngineSimulation.withEndedStream(
    id: String,
    progress: StreamProgress
): EngineSimulation = copy(streams = streams - id, endedStreams = endedStreams + (id to progress))

private fun dropOldestProgress(state: EngineSimulation): List<EngineSimulationEffect> =
    state.endedStreams.keys
        .take((state.endedStreams.size - MAX_ENDED_STREAMS).coerceAtLeast(0))
        .map { DropProgress(it) }

private fun EngineSimulation.withoutOldestEndedStreams(): EngineSimulation {
    val surplus = endedStreams.size - MAX_ENDED_STREAMS
    if (surplus <= 0) return this
    return copy(endedStreams = endedStreams - endedStreams.keys.take(surplus).toSet())
}

private fun EngineSimulation.withCachedBlocks(
    blockDigests: List<Long>,
    at: Long
): EngineSimulation {
    val added = blockDigests.filter { it !in cache }
    if (added.isEmpty()) return this
    val grown = (cache - blockDigests.toSet()) + blockDigests
    val removed = grown.take((grown.size - settings.cacheBlocks).coerceAtLeast(0))
    val sequence = cacheSequence + 1
    val visible = at + settings.cacheEventLag.inWholeMilliseconds
    val lossInterval = settings.cacheEventLossEvery
    val lost = lossInterval > 0 && sequence % lossInterval == 0L
    val event = CacheEvent(sequence, visible, added, removed)
    return copy(
        cache = grown - removed.toSet(),
        cacheSequence = sequence,
        cacheEvents = if (lost) cacheEvents else (cacheEvents + event).takeLast(MAX_CACHE_EVENTS)
    )
}

private fun collapseIfOverloaded(step: EngineSimulationStep, at: Long): EngineSimulationStep {
    val state = step.state
    val outOfMemory = state.usedTokens > state.settings.memoryTokens
    val overloadedWhileCold =
        state.remainingColdTokens > 0 && state.streams.size > state.settings.coldStreams
    if (!outOfMemory && !overloadedWhileCold) return step
    val cause = if (outOfMemory) "engine memory overfull" else "overloaded while cold"
    val withoutStreams = dropStreams(state, cause)
    val restarted = withoutStreams.state.copy(
        incarnation = state.incarnation + 1,
        readyAt = at + state.settings.restartTime.inWholeMilliseconds,
        handles = emptyMap(),
        remainingColdTokens = state.settings.coldTokens,
        cache = emptySet(),
        collapses = state.collapses + 1
    )
    return EngineSimulationStep(restarted, step.effects + withoutStreams.effects)
}

private fun dropStreams(state: EngineSimulation, cause: String): EngineSimulationStep {
    val failed = state.streams.values.flatMap {
        val progress = it.progress.copy(outcome = StreamOutcome.Failed(cause))
        listOf(ShowProgress(it.id, progress), DropProgress(it.id))
    }
    val dropped = state.endedStreams.keys.map { DropProgress(it) }
    return EngineSimulationStep(
        state.copy(streams = emptyMap(), endedStreams = emptyMap()),
        failed + dropped
    )
}

private fun EngineSimulation.answer(
    callId: Long,
    status: Int = STATUS_OK,
    detail: String = ""
): EngineSimulationStep = EngineSimulationStep(this, listOf(Answer(callId, status, detail)))

private fun decrementUnlessUnlimited(count: Int): Int = if (count > 0) count - 1 else count

private const val STATUS_OK = 200
private const val STATUS_CONFLICT = 409
private const val STATUS_UNAVAILABLE = 503
private const val MILLISECONDS_PER_SECOND = 1000

/**
 * Bounds on the ended streams and cache events that are kept for readers that ask for them later.
 */
private const val MAX_ENDED_STREAMS = 256
private const val MAX_CACHE_EVENTS = 256
