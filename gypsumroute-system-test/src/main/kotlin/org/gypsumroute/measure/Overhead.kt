/*
 * What the router adds to a request: the same arrivals to the engine directly and through entry
 * and agent, in turn, so that both meet the same state of the machine.
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
        agentsPerCentre = 1,
        entries = 1,
        engine = EngineSize(prefillPerSecond = 50_000_000, decodeMilliseconds = 1),
        document = ServiceText(warmPrefillPerSecond = 50_000_000)
    )
    val (direct, routed) = Fleet(plan, run.files).start().use { fleet -> runBoth(run, fleet) }
    val percentiles = listOf(50.0, 95.0, 99.0)
    val ofDirect = percentiles.map { at -> percentile(direct.mapNotNull { it.firstToken }, at) }
    val ofRouted = percentiles.map { at -> percentile(routed.mapNotNull { it.firstToken }, at) }
    val added = ofRouted.zip(ofDirect) { through, straight -> through - straight }
    return Measurement(
        key = "overhead",
        title = "Router overhead",
        goal = "at most 2 ms more than a direct call at the 95th percentile",
        checks = listOf(Check("p95 through the router less p95 direct", added[1], 2.0, "ms")),
        figures = percentiles.mapIndexed { index, at ->
            Figure("p${at.toInt()} first token", ofRouted[index], ofDirect[index], "ms")
        } + Figure("failed", routed.failed().toDouble(), direct.failed().toDouble(), "requests"),
        notes = listOf(
            "Baseline: the same plan sent to the engine's own port, each call between two routed " +
                "ones. 1 entry, 1 agent, 1 engine with steps of 1 ms and prefill that takes no " +
                "time; prompts of 1,000 tokens, 1 token of output, ${number(RATE)} requests per " +
                "second on each path, ${routed.size} counted after ${WARM_UP.inWholeSeconds} s " +
                "of warm-up.",
            "Added: median ${number(added[0])} ms, p95 ${number(added[1])} ms, " +
                "p99 ${number(added[2])} ms. Errors: ${errorsOf(routed)}."
        ),
        plots = listOf(
            Plot.Bars(
                "overhead",
                "First token directly and through entry and agent",
                "ms",
                percentiles.map { "p${it.toInt()}" },
                mapOf("through the router" to ofRouted, "direct call" to ofDirect)
            )
        )
    )
}

private fun runBoth(run: MeasureRun, fleet: Fleet): Pair<List<CallOutcome>, List<CallOutcome>> {
    val mix = mixOf(MixPart(weight = 1, shortest = 1_000, longest = 1_000, outputTokens = 1))
    val plan = planArrivals(mix, RATE * 2, WARM_UP + LENGTH, run.seed)
    val engine = EngineCaller(fleet.agents.single().engineUrl)
    val router = fleet.caller()
    val outcomes = runLoad(plan) { planned, arrival ->
        if (planned.number % 2 == 0) {
            engine.call(planned, arrival)
        } else {
            router.call(planned, arrival)
        }
    }
    router.close()
    val counted = plan.filter {
        it.arrivalOffset > WARM_UP + 1.milliseconds
    }.map { it.number }.toSet()
    return outcomes.filter { it.number in counted }.partition { it.number % 2 == 0 }
}

private const val RATE = 60.0
private val WARM_UP = 10.seconds
private val LENGTH = 15.seconds
