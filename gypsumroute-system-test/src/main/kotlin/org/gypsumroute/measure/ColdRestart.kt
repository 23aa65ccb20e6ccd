/*
 * Sixteen agents restart at once and find their engines cold, under load.
 */
package org.gypsumroute.measure

import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.gypsumroute.cli.load.CallOutcome
import org.gypsumroute.cli.load.planArrivals

internal fun measureColdRestart(run: MeasureRun): Measurement {
    val plan = FleetPlan(agentsPerCentre = AGENTS, document = ServiceText(slots = 16))
    val default = restart(run, plan)
    val baseline = restart(run, plan.copy(agentOptions = listOf("--ramp=none")))
    return Measurement(
        key = "cold-restart",
        title = "Cold restart of 16 agents",
        goal = "no request overloads a cold endpoint",
        checks = listOf(Check("engine collapses", default.collapses, limit = 0.0)),
        figures = listOf(
            Figure("engine collapses", default.collapses, baseline.collapses, "collapses"),
            Figure("answered", default.answered, baseline.answered, "requests"),
            Figure("failed", default.failed, baseline.failed, "requests"),
            Figure("p95 first token, 5 s from the restart on", default.p95, baseline.p95, "ms")
        ),
        notes = listOf(
            "Baseline: `--ramp none`. 2 entries, 16 agents and engines, 16 slots each; short " +
                "prompts at ${number(RATE)} per second. After 4 s all agents are killed and " +
                "started again, and each engine is cold for the next 20,000 tokens: four times " +
                "slower, and it collapses with more than 2 streams.",
            "Errors: ${default.errors}; baseline: ${baseline.errors}."
        ),
        plots = listOf(
            Plot.Bars(
                "cold-restart",
                "Collapses and failures after a cold restart",
                "count",
                listOf("engine collapses", "failed requests"),
                mapOf(
                    "gypsumroute" to listOf(default.collapses, default.failed),
                    "no ramp" to listOf(baseline.collapses, baseline.failed)
                )
            )
        )
    )
}

private class Restarted(val collapses: Double, outcomes: List<CallOutcome>, after: Set<Int>) {
    val answered = outcomes.count { it.error == null }.toDouble()
    val failed = outcomes.failed().toDouble()
    val p95 = firstTokenP95(outcomes.filter { it.number in after })
    val errors = errorsOf(outcomes)
}

private fun restart(run: MeasureRun, plan: FleetPlan): Restarted =
    Fleet(plan, run.files).start().use { fleet ->
        warmUp(fleet, mixOf(shortPart), RATE, seconds = 5)
        val before = collapses(fleet)
        val requests = planArrivals(mixOf(shortPart), RATE, 20.seconds, run.seed)
        val sent = CompletableFuture.supplyAsync { send(fleet, requests, timeout = 10) }
        Thread.sleep(4_000)
        fleet.agents.forEach { fleet.process(it.host).kill() }
        // Streams of the killed agents end by themselves; they are no load that the ramp allowed.
        await("end of earlier streams", 10.seconds) { fleet.agents.all { isIdle(it) } }
        fleet.agents.forEach { Http.post("${it.engineUrl}/test/cold?tokens=20000") }
        fleet.agents.forEach { fleet.startAgent(it) }
        val outcomes = sent.get()
        val after = requests.filter {
            it.arrivalOffset in 4.seconds..9.seconds
        }.map { it.number }.toSet()
        Restarted((collapses(fleet) - before).toDouble(), outcomes, after)
    }

private fun isIdle(agent: Fleet.Agent): Boolean =
    "\"streams\":{}" in Http.get("${agent.engineUrl}/state").orEmpty()

private fun collapses(fleet: Fleet): Int = fleet.agents.sumOf { agent ->
    val report = checkNotNull(Http.get("${agent.engineUrl}/state")) { "no report of an engine" }
    Json.parseToJsonElement(report).jsonObject.getValue("collapses").jsonPrimitive.int
}

private const val AGENTS = 16
private const val RATE = 100.0
