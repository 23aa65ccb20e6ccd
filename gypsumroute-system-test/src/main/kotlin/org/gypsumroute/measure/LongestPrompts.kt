/*
 * The longest prompts, which need a group of engines, while all engines are at half load.
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
        engine = EngineSize(prefillPerSecond = PREFILL),
        document = ServiceText(warmPrefillPerSecond = PREFILL)
    )
    val one = plan.copy(agentOptions = listOf("--queue-order=one-queue"))
    val default = Fleet(plan, run.files).start().use { fleet ->
        warmUp(fleet, mixOf(shortPart), rate = 60.0, seconds = 6)
        val own = CompletableFuture.supplyAsync { ownPrefill(run, fleet) }
        LongestRun(send(fleet, requests(run.seed, ENGINES)), own.get())
    }
    val baseline = Fleet(one, run.files).start().use { fleet ->
        warmUp(fleet, mixOf(shortPart), rate = 60.0, seconds = 6)
        LongestRun(send(fleet, requests(run.seed, ENGINES)), emptyList())
    }
    val own = mean(default.own)
    return Measurement(
        key = "longest-prompts",
        title = "Longest prompts",
        goal = "first token within 1.2 times the engine's own prefill time at half load",
        checks = listOf(
            Check("mean first token to own prefill", mean(default.longest) / own, limit = 1.2),
            Check("longest prompts that failed", default.failed, limit = 0.0)
        ),
        figures = listOf(
            Figure("mean first token", mean(default.longest), mean(baseline.longest), "ms"),
            Figure("largest first token", largest(default), largest(baseline), "ms"),
            Figure("engine's own prefill at half load", own, own, "ms"),
            Figure("ratio", mean(default.longest) / own, mean(baseline.longest) / own, ""),
            Figure("failed longest prompts", default.failed, baseline.failed, "requests"),
            Figure("p95 first token of the others", default.others, baseline.others, "ms")
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
                    "gypsumroute" to default.longest.map(::firstToken),
                    "one queue" to baseline.longest.map(::firstToken),
                    "engine's own prefill" to default.own.map(::firstToken)
                )
            )
        )
    )
}

private class LongestRun(outcomes: List<CallOutcome>, val own: List<CallOutcome>) {
    val longest = outcomes.filter { it.promptTokens == LONGEST }
    val failed = longest.failed().toDouble()
    val others = firstTokenP95(outcomes - longest.toSet())
    val errors = errorsOf(outcomes)
}

/** Background for [engines] engines at half load, and the longest prompts. */
private fun requests(seed: Long, engines: Int): List<PlannedRequest> {
    val part = MixPart(weight = 1, shortest = 4_001, longest = 40_000, outputTokens = 8)
    val rate = PREFILL * engines / 2.0 / MEAN_BACKGROUND
    val background = planArrivals(mixOf(part), rate, LENGTH, seed)
    val longest = List(PROMPTS) {
        PlannedRequest(background.size + it, 2.seconds + SPACING * it, LONGEST, outputTokens = 8)
    }
    return (background + longest).sortedBy { it.arrivalOffset }
}

private fun ownPrefill(run: MeasureRun, fleet: Fleet): List<CallOutcome> {
    val port = run.files.port()
    fleet.startEngine("own", port, EngineSize(memoryTokens = 3_000_000, prefillPerSecond = PREFILL))
    val url = "http://${Fleet.LOOPBACK}:$port"
    await(url, 20.seconds) { Http.get("$url/state") != null }
    val caller = EngineCaller(url) { tokens -> if (tokens == LONGEST) 1 else 2 }
    return runLoad(requests(run.seed, 1), caller::call)
        .filter { it.promptTokens == LONGEST }.sortedBy { it.number }
}

private fun firstToken(outcome: CallOutcome): Double =
    outcome.firstToken?.let(::milliseconds) ?: Double.NaN

private fun mean(outcomes: List<CallOutcome>): Double =
    outcomes.map(::firstToken).filterNot { it.isNaN() }.average()

private fun largest(run: LongestRun): Double =
    run.longest.map(::firstToken).filterNot { it.isNaN() }.maxOrNull() ?: Double.NaN

private const val ENGINES = 4
private const val PREFILL = 400_000
private const val LONGEST = 900_000
private const val MEAN_BACKGROUND = 22_000
private const val PROMPTS = 4
private val SPACING = 6.seconds
private val LENGTH = 26.seconds
