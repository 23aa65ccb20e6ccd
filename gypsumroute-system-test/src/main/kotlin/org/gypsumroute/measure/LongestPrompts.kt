/*
 * Measures the longest prompts, which need a group of engines, with all engines at half load.
 */
package org.gypsumroute.measure

import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.cli.load.CallOutcome
import org.gypsumroute.cli.load.MixPart
import org.gypsumroute.cli.load.PlannedRequest
import org.gypsumroute.cli.load.planArrivals
import org.gypsumroute.cli.load.runLoad

internal fun measureLongestPrompts(run: MeasureRun): Measurement {
    val plan = FleetPlan(
        engine = EngineSize(prefillTokensPerSecond = PREFILL_TOKENS_PER_SECOND),
        document = ServiceDocumentText(warmPrefillTokensPerSecond = PREFILL_TOKENS_PER_SECOND)
    )
    val oneQueuePlan = plan.copy(agentOptions = listOf("--queue-order=one-queue"))
    val default = Fleet(plan, run.files).start().use { fleet ->
        warmUp(fleet, loadProfileOf(shortPromptMix), rate = 60.0, seconds = 6)
        val enginePrefill = CompletableFuture.supplyAsync { runDirectly(run, fleet) }
        LongestRun(sendAll(fleet, plannedRequests(run.seed, ENGINE_COUNT)), enginePrefill.get())
    }
    val baseline = Fleet(oneQueuePlan, run.files).start().use { fleet ->
        warmUp(fleet, loadProfileOf(shortPromptMix), rate = 60.0, seconds = 6)
        LongestRun(sendAll(fleet, plannedRequests(run.seed, ENGINE_COUNT)), emptyList())
    }
    val enginePrefill = meanFirstToken(default.enginePrefill)
    val firstToken = meanFirstToken(default.longest)
    val baselineFirstToken = meanFirstToken(baseline.longest)
    return Measurement(
        key = "longest-prompts",
        title = "Longest prompts",
        goal = "first token within 1.2 times the engine's own prefill time at half load",
        checks = listOf(
            Check("mean first token to own prefill", firstToken / enginePrefill, limit = 1.2),
            Check("longest prompts that failed", default.failed, limit = 0.0)
        ),
        figures = listOf(
            Figure("mean first token", firstToken, baselineFirstToken, "ms"),
            Figure("largest first token", maxFirstToken(default), maxFirstToken(baseline), "ms"),
            Figure("engine's own prefill at half load", enginePrefill, enginePrefill, "ms"),
            Figure("ratio", firstToken / enginePrefill, baselineFirstToken / enginePrefill, ""),
            Figure("failed longest prompts", default.failed, baseline.failed, "requests"),
            Figure("p95 first token of the others", default.othersP95, baseline.othersP95, "ms")
        ),
        notes = listOf(
            "Baseline: `--queue-order one-queue`. 4 engines with 400,000 tokens of memory and " +
                "400,000 tokens of prefill per second; prompts of 4,001 to 40,000 tokens take " +
                "half of that, and ${default.longest.size} prompts of 900,000 tokens, one every " +
                "6 s, each need a group of three engines.",
            "The engine's own time is measured at the same time on one more engine that has " +
                "memory for the whole prompt, called directly, at half load of its own; on an " +
                "idle engine it would be 2,250 ms.",
            "Errors: ${default.errors}; baseline: ${baseline.errors}."
        ),
        plots = listOf(
            Plot.Bars(
                "longest-prompts",
                "First token of prompts of 900,000 tokens at half load",
                "ms",
                default.longest.indices.map { "prompt ${it + 1}" },
                mapOf(
                    "gypsumroute" to default.longest.map(::firstTokenMilliseconds),
                    "one queue" to baseline.longest.map(::firstTokenMilliseconds),
                    "engine's own prefill" to default.enginePrefill.map(::firstTokenMilliseconds)
                )
            )
        )
    )
}

private class LongestRun(outcomes: List<CallOutcome>, val enginePrefill: List<CallOutcome>) {
    val longest = outcomes.filter { it.promptTokens == LONGEST_PROMPT_TOKENS }
    val failed = longest.failureCount().toDouble()
    val othersP95 = firstTokenP95Milliseconds(outcomes - longest.toSet())
    val errors = formatErrorCounts(outcomes)
}

/**
 * Background requests that use half of the prefill of [engines] engines, and the longest prompts.
 */
private fun plannedRequests(seed: Long, engines: Int): List<PlannedRequest> {
    val backgroundMix = MixPart(weight = 1, shortest = 4_001, longest = 40_000, outputTokens = 8)
    val rate = PREFILL_TOKENS_PER_SECOND * engines / 2.0 / MEAN_BACKGROUND_PROMPT_TOKENS
    val background = planArrivals(loadProfileOf(backgroundMix), rate, DURATION, seed)
    val longest = List(LONGEST_PROMPT_COUNT) {
        PlannedRequest(
            background.size + it,
            2.seconds + LONGEST_PROMPT_INTERVAL * it,
            LONGEST_PROMPT_TOKENS,
            outputTokens = 8
        )
    }
    return (background + longest).sortedBy { it.arrivalOffset }
}

/** Outcomes of the longest prompts, sent directly to one engine with memory for a whole prompt. */
private fun runDirectly(run: MeasureRun, fleet: Fleet): List<CallOutcome> {
    val port = run.files.port()
    fleet.startEngine(
        "own",
        port,
        EngineSize(memoryTokens = 3_000_000, prefillTokensPerSecond = PREFILL_TOKENS_PER_SECOND)
    )
    val url = "http://${Fleet.LOOPBACK}:$port"
    awaitUntil(url, 20.seconds) { Http.get("$url/state") != null }
    val caller = EngineCaller(url) { tokens -> if (tokens == LONGEST_PROMPT_TOKENS) 1 else 2 }
    return runLoad(plannedRequests(run.seed, 1), caller::call)
        .filter { it.promptTokens == LONGEST_PROMPT_TOKENS }.sortedBy { it.number }
}

private fun firstTokenMilliseconds(outcome: CallOutcome): Double =
    outcome.firstToken?.let(::toMilliseconds) ?: Double.NaN

private fun meanFirstToken(outcomes: List<CallOutcome>): Double =
    outcomes.map(::firstTokenMilliseconds).filterNot { it.isNaN() }.average()

private fun maxFirstToken(run: LongestRun): Double =
    run.longest.map(::firstTokenMilliseconds).filterNot { it.isNaN() }.maxOrNull() ?: Double.NaN

private const val ENGINE_COUNT = 4
private const val PREFILL_TOKENS_PER_SECOND = 400_000
private const val LONGEST_PROMPT_TOKENS = 900_000
private const val MEAN_BACKGROUND_PROMPT_TOKENS = 22_000
private const val LONGEST_PROMPT_COUNT = 4
private val LONGEST_PROMPT_INTERVAL = 6.seconds
private val DURATION = 26.seconds
