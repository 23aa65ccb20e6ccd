/*
 * Measures the latency that the router adds to a request. Direct calls to the engine alternate with
 * calls through entry and agent, so that both see the same state of the machine.
 */
package org.gypsumroute.measure

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.cli.load.CallOutcome
import org.gypsumroute.cli.load.MixPart
import org.gypsumroute.cli.load.planArrivals
import org.gypsumroute.cli.load.runLoad

internal fun measureOverhead(run: MeasureRun): Measurement {
    val plan = FleetPlan(
        agentsPerDataCentre = 1,
        entries = 1,
        engine = EngineSize(prefillTokensPerSecond = 50_000_000, decodeIntervalMilliseconds = 1),
        document = ServiceDocumentText(warmPrefillTokensPerSecond = 50_000_000)
    )
    val (direct, routed) = Fleet(plan, run.files).start().use { fleet -> runBoth(run, fleet) }
    val percentiles = listOf(50.0, 95.0, 99.0)
    val directPercentiles = percentiles.map { at ->
        percentile(direct.mapNotNull { it.firstToken }, at)
    }
    val routedPercentiles = percentiles.map { at ->
        percentile(routed.mapNotNull { it.firstToken }, at)
    }
    val added = routedPercentiles.zip(directPercentiles) { routedValue, directValue ->
        routedValue - directValue
    }
    val requestRate = formatNumber(REQUESTS_PER_SECOND)
    return Measurement(
        key = "overhead",
        title = "Router overhead",
        goal = "at most 2 ms more than a direct call at the 95th percentile",
        checks = listOf(Check("p95 through the router less p95 direct", added[1], 2.0, "ms")),
        figures = percentiles.mapIndexed { index, at ->
            Figure(
                "p${at.toInt()} first token",
                routedPercentiles[index],
                directPercentiles[index],
                "ms"
            )
        } +
            Figure(
                "failed",
                routed.failureCount().toDouble(),
                direct.failureCount().toDouble(),
                "requests"
            ),
        notes = listOf(
            "Baseline: the same plan sent to the engine's own port, each call between two routed " +
                "ones. 1 entry, 1 agent, 1 engine with steps of 1 ms and prefill that takes no " +
                "time; prompts of 1,000 tokens, 1 token of output, $requestRate requests per " +
                "second on each path, ${routed.size} counted after ${WARM_UP.inWholeSeconds} s " +
                "of warm-up.",
            "Added: median ${formatNumber(added[0])} ms, p95 ${formatNumber(added[1])} ms, " +
                "p99 ${formatNumber(added[2])} ms. Errors: ${formatErrorCounts(routed)}."
        ),
        plots = listOf(
            Plot.Bars(
                "overhead",
                "First token directly and through entry and agent",
                "ms",
                percentiles.map { "p${it.toInt()}" },
                mapOf("through the router" to routedPercentiles, "direct call" to directPercentiles)
            )
        )
    )
}

private fun runBoth(run: MeasureRun, fleet: Fleet): Pair<List<CallOutcome>, List<CallOutcome>> {
    val mix =
        loadProfileOf(MixPart(weight = 1, shortest = 1_000, longest = 1_000, outputTokens = 1))
    val plan = planArrivals(mix, REQUESTS_PER_SECOND * 2, WARM_UP + DURATION, run.seed)
    val engine = EngineCaller(fleet.agents.single().engineUrl)
    val router = fleet.newCaller()
    val outcomes = runLoad(plan) { planned, arrival ->
        if (planned.number % 2 == 0) {
            engine.call(planned, arrival)
        } else {
            router.call(planned, arrival)
        }
    }
    router.close()
    val counted = plan.filter { it.arrivalOffset > WARM_UP + 1.milliseconds }
        .map { it.number }.toSet()
    return outcomes.filter { it.number in counted }.partition { it.number % 2 == 0 }
}

private const val REQUESTS_PER_SECOND = 60.0
private val WARM_UP = 10.seconds
private val DURATION = 15.seconds
