/*
 * Measures short prompts with and without concurrent long ones, with the default placement and
 * queue order and with a conventional load balancer (least outstanding requests, one queue).
 */
package org.gypsumroute.measure

import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.cli.load.CallOutcome
import org.gypsumroute.cli.load.PlannedRequest
import org.gypsumroute.cli.load.planArrivals

internal fun measureShortPrompts(run: MeasureRun): Measurement {
    val plan =
        planArrivals(
            loadProfileOf(shortPromptMix, longPromptMix),
            REQUESTS_PER_SECOND,
            DURATION,
            run.seed
        )
    val default = compareMixes(run, FleetPlan(), plan)
    val conventionalPlan = FleetPlan(
        entryOptions = listOf("--placement=least-outstanding"),
        agentOptions = listOf("--queue-order=one-queue")
    )
    val baseline = compareMixes(run, conventionalPlan, plan)
    val longCount = plan.count { it.promptTokens > ServiceDocumentText.MAX_SHORT_PROMPT_TOKENS }
    val requestRate = formatNumber(REQUESTS_PER_SECOND)
    return Measurement(
        key = "short-prompts",
        title = "Short prompts beside long ones",
        goal = "95th percentile with 1 in 50 long prompts at most 1.25 times that without",
        checks = listOf(Check("ratio with to without", default.ratio, limit = 1.25)),
        figures = listOf(
            Figure(
                "p95 first token without long",
                default.p95WithoutLong,
                baseline.p95WithoutLong,
                "ms"
            ),
            Figure("p95 first token with long", default.p95WithLong, baseline.p95WithLong, "ms"),
            Figure("ratio", default.ratio, baseline.ratio, ""),
            Figure("failed requests with long", default.failed, baseline.failed, "requests"),
            Figure("p95 first token of the long", default.longP95, baseline.longP95, "ms")
        ),
        notes = listOf(
            "Engines judged cold: ${default.coldEvents} times; baseline: ${baseline.coldEvents}.",
            "Baseline: `--placement least-outstanding` and `--queue-order one-queue`.",
            "2 entries, 4 agents, engines with 400,000 tokens of memory and 200,000 tokens of " +
                "prefill per second; ${plan.size} requests at $requestRate per second, " +
                "$longCount of them with 100,001 to 300,000 tokens, about 60% of the engines' " +
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
                    "gypsumroute" to listOf(default.p95WithoutLong, default.p95WithLong),
                    "least outstanding" to listOf(baseline.p95WithoutLong, baseline.p95WithLong)
                )
            )
        )
    )
}

private class MixComparison(
    withoutLong: List<CallOutcome>,
    mixed: List<CallOutcome>,
    val coldEvents: Int
) {
    val p95WithoutLong = firstTokenP95Milliseconds(withoutLong.shortPrompts())
    val p95WithLong = firstTokenP95Milliseconds(mixed.shortPrompts())
    val ratio = p95WithLong / p95WithoutLong
    val failed = mixed.failureCount().toDouble()
    val longP95 = firstTokenP95Milliseconds(mixed - mixed.shortPrompts().toSet())
    val errors = formatErrorCounts(withoutLong + mixed)
}

private fun compareMixes(
    run: MeasureRun,
    plan: FleetPlan,
    requests: List<PlannedRequest>
): MixComparison = Fleet(plan, run.files).start().use { fleet ->
    warmUp(fleet, loadProfileOf(shortPromptMix), REQUESTS_PER_SECOND, seconds = 6)
    val withoutLong = sendAll(fleet, withoutLongPrompts(requests))
    MixComparison(withoutLong, sendAll(fleet, requests), fleet.countLogged(COLD_EVENT))
}

private const val COLD_EVENT = "engine_cold"
private const val REQUESTS_PER_SECOND = 75.0
private val DURATION = 20.seconds
