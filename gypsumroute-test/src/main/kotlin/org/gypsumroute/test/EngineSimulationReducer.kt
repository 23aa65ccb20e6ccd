/*
 * The simulated engine: continuous batching with chunked prefill, memory limit, cold start.
 *
 * A step falls due every decode interval while there are streams. It spends the interval's
 * prefill budget on streams in order of priority, then gives each prefilled stream one token.
 */
package org.gypsumroute.test

import org.gypsumroute.test.EngineSimulationEffect.Answer
import org.gypsumroute.test.EngineSimulationEffect.Forget
import org.gypsumroute.test.EngineSimulationEffect.NoAnswer
import org.gypsumroute.test.EngineSimulationEffect.Schedule
import org.gypsumroute.test.EngineSimulationEffect.Show

/** Applies one event to the simulated engine. */
fun reduceEngine(state: EngineSimulation, event: EngineSimulationEvent): EngineSimulationStep {
    val step = when (event) {
        is EngineSimulationEvent.Open -> open(state, event)

        is EngineSimulationEvent.Cancel -> cancel(state, event)

        is EngineSimulationEvent.Release -> release(state, event)

        is EngineSimulationEvent.Order -> order(state, event)

        is EngineSimulationEvent.StepDue -> advance(state, event.at)

        is EngineSimulationEvent.SetFaults -> state.copy(faults = event.faults).answer(event.ask)

        is EngineSimulationEvent.TurnCold ->
            state.copy(coldRemaining = event.tokens).answer(event.ask)
    }
    val checked = collapseIfOverloaded(step, event.at)
    return checked.copy(state = checked.state.withReport(event.at))
}

/** The newest report that is at least the report lag old. */
fun EngineSimulation.visibleReport(at: Long): EngineReport {
    val horizon = at - settings.reportLag.inWholeMilliseconds
    return reports.lastOrNull { it.at <= horizon } ?: reports.firstOrNull() ?: report(at)
}

/** The engine's state without lag. */
fun EngineSimulation.report(at: Long): EngineReport = EngineReport(
    at = at,
    start = start,
    usedTokens = usedTokens,
    streams = streams.mapValues { it.value.heldTokens },
    handles = handles,
    loaded = loaded,
    role = role,
    highestFencing = highestFencing,
    cold = coldRemaining > 0,
    collapses = collapses
)

private fun EngineSimulation.withReport(at: Long): EngineSimulation {
    val horizon = at - settings.reportLag.inWholeMilliseconds
    val firstNeeded = reports.indexOfLast { it.at <= horizon }.coerceAtLeast(0)
    return copy(reports = reports.drop(firstNeeded) + report(at))
}

private fun open(state: EngineSimulation, event: EngineSimulationEvent.Open): EngineSimulationStep {
    val known = event.id in state.streams || event.id in state.ended
    return when {
        event.at < state.upAt -> state.answer(event.ask, STATUS_UNAVAILABLE, "not loaded yet")
        known -> state.answer(event.ask, STATUS_CONFLICT, "stream exists")
        else -> admit(state, event)
    }
}

private fun admit(
    state: EngineSimulation,
    event: EngineSimulationEvent.Open
): EngineSimulationStep {
    val known = event.prompt.blocks.takeWhile { it in state.cache }.size
    val cachedTokens = (known * PromptDigester.BLOCK_TOKENS).coerceAtMost(event.prompt.tokens)
    val silent = state.faults.silentStreams != 0
    val stream = SimulatedStream(
        id = event.id,
        promptTokens = event.prompt.tokens,
        outputLimit = event.outputLimit,
        priority = event.priority,
        export = event.export,
        silent = silent,
        blocks = event.prompt.blocks,
        order = event.at,
        prefillLeft = event.prompt.tokens - cachedTokens,
        progress = StreamProgress(event.prompt.nextToken)
    )
    val next = state.copy(
        streams = state.streams + (event.id to stream),
        faults = state.faults.copy(silentStreams = countDown(state.faults.silentStreams)),
        lastStep = if (state.streams.isEmpty()) event.at else state.lastStep
    )
    val answer = Answer(event.ask, STATUS_OK, "", event.id)
    val effects = listOf(Show(event.id, stream.progress), answer)
    return EngineSimulationStep(next, effects).withNextStep()
}

private fun EngineSimulationStep.withNextStep(): EngineSimulationStep {
    if (state.stepPending || state.streams.isEmpty()) return this
    val schedule = Schedule(state.settings.decodeInterval.inWholeMilliseconds)
    return EngineSimulationStep(state.copy(stepPending = true), effects + schedule)
}

private fun cancel(
    state: EngineSimulation,
    event: EngineSimulationEvent.Cancel
): EngineSimulationStep {
    if (state.faults.lostCancels != 0) {
        val faults = state.faults.copy(lostCancels = countDown(state.faults.lostCancels))
        return EngineSimulationStep(state.copy(faults = faults), listOf(NoAnswer(event.ask)))
    }
    val running = state.streams[event.id]
    val shown = running?.let {
        listOf(Show(it.id, it.progress.copy(outcome = StreamOutcome.Failed("cancelled"))))
    }
    return EngineSimulationStep(
        state.copy(streams = state.streams - event.id, ended = state.ended - event.id),
        shown.orEmpty() + Forget(event.id) + Answer(event.ask, STATUS_OK, "cancelled")
    )
}

private fun release(
    state: EngineSimulation,
    event: EngineSimulationEvent.Release
): EngineSimulationStep {
    val handles = state.handles - event.handle
    return state.copy(handles = handles).answer(event.ask)
}

private fun order(
    state: EngineSimulation,
    event: EngineSimulationEvent.Order
): EngineSimulationStep {
    if (state.settings.fencing && event.fencing < state.highestFencing) {
        return state.answer(event.ask, STATUS_CONFLICT, "stale fencing number")
    }
    val fenced = state.copy(
        highestFencing = maxOf(state.highestFencing, event.fencing),
        role = event.role ?: state.role
    )
    if (event.load == null || event.load == state.loaded) return fenced.answer(event.ask)
    val emptied = dropStreams(fenced, "a model was loaded")
    val loading = emptied.state.copy(
        loaded = event.load,
        upAt = event.at + state.settings.loadTime.inWholeMilliseconds,
        coldRemaining = state.settings.coldTokens,
        cache = emptySet()
    )
    return EngineSimulationStep(loading, emptied.effects + Answer(event.ask, STATUS_OK, "loading"))
}

private fun advance(state: EngineSimulation, at: Long): EngineSimulationStep {
    val due = state.copy(lastStep = at, stepPending = false)
    val prefilled = prefill(due, at - state.lastStep)
    return decode(prefilled, at).withNextStep()
}

private fun prefill(state: EngineSimulation, elapsed: Long): EngineSimulation {
    val rate = state.settings.prefillTokensPerSecond
    val slowdown = if (state.coldRemaining > 0) state.settings.coldSlowdown else 1.0
    var budget = (rate * elapsed / MILLISECONDS_PER_SECOND / slowdown).toLong().coerceAtLeast(1)
    var spent = 0L
    val streams = state.streams.toMutableMap()
    state.streams.values
        .filter { it.prefillLeft > 0 }
        .sortedWith(compareByDescending<SimulatedStream> { it.priority }.thenBy { it.order })
        .forEach {
            val done = minOf(budget, it.prefillLeft)
            budget -= done
            spent += done
            streams[it.id] = it.copy(prefillLeft = it.prefillLeft - done)
        }
    val cold = (state.coldRemaining - spent).coerceAtLeast(0)
    return state.copy(streams = streams, coldRemaining = cold)
}

private fun decode(state: EngineSimulation, at: Long): EngineSimulationStep {
    var next = state
    val effects = mutableListOf<EngineSimulationEffect>()
    for (stream in state.streams.values) {
        if (stream.prefillLeft > 0 || stream.silent) continue
        if (stream.progress.produced == 0) next = next.withCached(stream.blocks, at)
        val (after, progress) = decodeOne(next, stream)
        next = after
        effects += Show(stream.id, progress)
    }
    return EngineSimulationStep(next.withoutOldest(), effects + forgetOldest(next))
}

private fun decodeOne(
    state: EngineSimulation,
    stream: SimulatedStream
): Pair<EngineSimulation, StreamProgress> {
    if (stream.export) {
        val handle = "kv-${state.start}-${state.handleCounter}"
        val outcome = StreamOutcome.Exported(handle, stream.promptTokens)
        val progress = stream.progress.copy(outcome = outcome)
        val next = state.copy(
            handles = state.handles + (handle to stream.promptTokens),
            handleCounter = state.handleCounter + 1
        )
        return next.ending(stream.id, progress) to progress
    }
    val produced = minOf(stream.progress.produced + 1, stream.outputLimit)
    val ended = produced >= stream.outputLimit
    val outcome = if (ended) StreamOutcome.Ended else null
    val progress = stream.progress.copy(produced = produced, outcome = outcome)
    val running = stream.copy(progress = progress)
    return if (ended) {
        state.ending(stream.id, progress) to progress
    } else {
        state.copy(streams = state.streams + (stream.id to running)) to progress
    }
}

private fun EngineSimulation.ending(id: String, progress: StreamProgress): EngineSimulation =
    copy(streams = streams - id, ended = ended + (id to progress))

private fun forgetOldest(state: EngineSimulation): List<EngineSimulationEffect> =
    state.ended.keys.take((state.ended.size - KEPT_ENDED).coerceAtLeast(0)).map { Forget(it) }

private fun EngineSimulation.withoutOldest(): EngineSimulation {
    val surplus = ended.size - KEPT_ENDED
    return if (surplus <= 0) this else copy(ended = ended - ended.keys.take(surplus).toSet())
}

private fun EngineSimulation.withCached(blocks: List<Long>, at: Long): EngineSimulation {
    val added = blocks.filter { it !in cache }
    if (added.isEmpty()) return this
    val grown = (cache - blocks.toSet()) + blocks
    val removed = grown.take((grown.size - settings.cacheBlocks).coerceAtLeast(0))
    val sequence = cacheSequence + 1
    val visible = at + settings.cacheEventLag.inWholeMilliseconds
    val lossEvery = settings.cacheEventLossEvery
    val lost = lossEvery > 0 && sequence % lossEvery == 0L
    val event = CacheEvent(sequence, visible, added, removed)
    return copy(
        cache = grown - removed.toSet(),
        cacheSequence = sequence,
        cacheEvents = if (lost) cacheEvents else (cacheEvents + event).takeLast(KEPT_EVENTS)
    )
}

private fun collapseIfOverloaded(step: EngineSimulationStep, at: Long): EngineSimulationStep {
    val state = step.state
    val overfull = state.usedTokens > state.settings.memoryTokens
    val overloaded = state.coldRemaining > 0 && state.streams.size > state.settings.coldStreams
    if (!overfull && !overloaded) return step
    val cause = if (overfull) "engine memory overfull" else "overloaded while cold"
    val emptied = dropStreams(state, cause)
    val restarted = emptied.state.copy(
        incarnation = state.incarnation + 1,
        upAt = at + state.settings.restartTime.inWholeMilliseconds,
        handles = emptyMap(),
        coldRemaining = state.settings.coldTokens,
        cache = emptySet(),
        collapses = state.collapses + 1
    )
    return EngineSimulationStep(restarted, step.effects + emptied.effects)
}

private fun dropStreams(state: EngineSimulation, cause: String): EngineSimulationStep {
    val failed = state.streams.values.flatMap {
        val progress = it.progress.copy(outcome = StreamOutcome.Failed(cause))
        listOf(Show(it.id, progress), Forget(it.id))
    }
    val forgotten = state.ended.keys.map { Forget(it) }
    return EngineSimulationStep(
        state.copy(streams = emptyMap(), ended = emptyMap()),
        failed + forgotten
    )
}

private fun EngineSimulation.answer(
    ask: Long,
    status: Int = STATUS_OK,
    detail: String = ""
): EngineSimulationStep = EngineSimulationStep(this, listOf(Answer(ask, status, detail)))

private fun countDown(count: Int): Int = if (count > 0) count - 1 else count

private const val STATUS_OK = 200
private const val STATUS_CONFLICT = 409
private const val STATUS_UNAVAILABLE = 503
private const val MILLISECONDS_PER_SECOND = 1000

/** Ended streams and cache events kept for readers that come late. */
private const val KEPT_ENDED = 256
private const val KEPT_EVENTS = 256
