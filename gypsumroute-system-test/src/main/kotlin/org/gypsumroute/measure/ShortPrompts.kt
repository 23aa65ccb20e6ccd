/*
 * Short prompts with and without long ones beside them, for the default and the usual balancer.
 */
package org.gypsumroute.measure

import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.cli.load.CallOutcome
import org.gypsumroute.cli.load.PlannedRequest
import org.gypsumroute.cli.load.planArrivals

internal fun measureShortPrompts(run: MeasureRun): Measurement {
    val plan = planArrivals(mixOf(shortPart, longPart), RATE, LENGTH, run.seed)
    val default = runPair(run, FleetPlan(), plan)
    val usual = FleetPlan(
        entryOptions = listOf("--placement=least-outstanding"),
        agentOptions = listOf("--queue-order=one-queue")
    )
    val baseline = runPair(run, usual, plan)
    val longest = plan.count { it.promptTokens > ServiceText.LONGEST_SHORT }
    return Measurement(
        key = "short-prompts",
        title = "Short prompts beside long ones",
        goal = "95th percentile with 1 in 50 long prompts at most 1.25 times that without",
        checks = listOf(Check("ratio with to without", default.ratio, limit = 1.25)),
        figures = listOf(
            Figure("p95 first token without long", default.without, baseline.without, "ms"),
            Figure("p95 first token with long", default.with, baseline.with, "ms"),
            Figure("ratio", default.ratio, baseline.ratio, ""),
            Figure("failed requests with long", default.failed, baseline.failed, "requests"),
            Figure("p95 first token of the long", default.long, baseline.long, "ms")
        ),
        notes = listOf(
            "Engines judged cold: ${default.cold} times; baseline: ${baseline.cold}.",
            "Baseline: `--placement least-outstanding` and `--queue-order one-queue`.",
            "2 entries, 4 agents, engines with 400,000 tokens of memory and 200,000 tokens of " +
                "prefill per second; ${plan.size} requests at ${number(RATE)} per second, " +
                "$longest of them with 100,001 to 300,000 tokens, about 60% of the engines' " +
                "prefill. The run without long prompts has the same arrivals without those.",
            "Errors: ${default.errors}; baseline: ${baseline.errors}."
        ),
        plots = listOf(
            Plot.Bars(
                "short-prompts",
                "Short prompts, 95th percentile of first token",
                "ms",
                listOf("without long", "with long"),
                mapOf(
                    "gypsumroute" to listOf(default.without, default.with),
                    "least outstanding" to listOf(baseline.without, baseline.with)
                )
            )
        )
    )
}

private class Pair(alone: List<CallOutcome>, mixed: List<CallOutcome>, val cold: Int) {
    val without = firstTokenP95(alone.short())
    val with = firstTokenP95(mixed.short())
    val ratio = with / without
    val failed = mixed.failed().toDouble()
    val long = firstTokenP95(mixed - mixed.short().toSet())
    val errors = errorsOf(alone + mixed)
}

private fun runPair(run: MeasureRun, plan: FleetPlan, requests: List<PlannedRequest>): Pair =
    Fleet(plan, run.files).start().use { fleet ->
        warmUp(fleet, mixOf(shortPart), RATE, seconds = 6)
        val alone = send(fleet, withoutLong(requests))
        Pair(alone, send(fleet, requests), fleet.logged(COLD_EVENT))
    }

private const val COLD_EVENT = "engine_cold"
private const val RATE = 75.0
private val LENGTH = 20.seconds
