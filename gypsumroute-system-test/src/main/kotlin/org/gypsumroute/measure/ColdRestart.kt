/*
 * Measures a simultaneous restart of 16 agents with cold engines, under load.
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
    val plan =
        FleetPlan(
            agentsPerDataCentre = AGENTS,
            document = ServiceDocumentText(slotsPerEndpoint = 16)
        )
    val default = runRestart(run, plan)
    val baseline = runRestart(run, plan.copy(agentOptions = listOf("--ramp=none")))
    val requestRate = formatNumber(REQUESTS_PER_SECOND)
    return Measurement(
        key = "cold-restart",
        title = "Cold restart of 16 agents",
        goal = "no request overloads a cold endpoint",
        checks = listOf(Check("engine collapses", default.collapses, limit = 0.0)),
        figures = listOf(
            Figure("engine collapses", default.collapses, baseline.collapses, "collapses"),
            Figure("answered", default.answered, baseline.answered, "requests"),
            Figure("failed", default.failed, baseline.failed, "requests"),
            Figure(
                "p95 first token, 5 s from the restart on",
                default.firstTokenP95,
                baseline.firstTokenP95,
                "ms"
            )
        ),
        notes = listOf(
            "Baseline: `--ramp none`. 2 entries, 16 agents and engines, 16 slots each; short " +
                "prompts at $requestRate per second. After 4 s all agents are killed and " +
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

private class RestartOutcome(
    val collapses: Double,
    outcomes: List<CallOutcome>,
    sentAfterRestart: Set<Int>
) {
    val answered = outcomes.count { it.error == null }.toDouble()
    val failed = outcomes.failureCount().toDouble()
    val firstTokenP95 = firstTokenP95Milliseconds(outcomes.filter { it.number in sentAfterRestart })
    val errors = formatErrorCounts(outcomes)
}

private fun runRestart(run: MeasureRun, plan: FleetPlan): RestartOutcome =
    Fleet(plan, run.files).start().use { fleet ->
        warmUp(fleet, loadProfileOf(shortPromptMix), REQUESTS_PER_SECOND, seconds = 5)
        val collapsesBefore = collapses(fleet)
        val requests =
            planArrivals(loadProfileOf(shortPromptMix), REQUESTS_PER_SECOND, 20.seconds, run.seed)
        val sent = CompletableFuture.supplyAsync { sendAll(fleet, requests, timeout = 10) }
        Thread.sleep(4_000)
        fleet.agents.forEach { fleet.process(it.host).kill() }
        // Streams of the killed agents go on in the engines until they end. The new agents' ramp
        // did not admit them, so the engines turn cold only after they have ended.
        awaitUntil("end of earlier streams", 10.seconds) { fleet.agents.all { isIdle(it) } }
        fleet.agents.forEach { Http.post("${it.engineUrl}/test/cold?tokens=20000") }
        fleet.agents.forEach { fleet.startAgent(it) }
        val outcomes = sent.get()
        val sentAfterRestart = requests.filter {
            it.arrivalOffset in 4.seconds..9.seconds
        }.map { it.number }.toSet()
        RestartOutcome((collapses(fleet) - collapsesBefore).toDouble(), outcomes, sentAfterRestart)
    }

private fun isIdle(agent: Fleet.Agent): Boolean =
    "\"streams\":{}" in Http.get("${agent.engineUrl}/state").orEmpty()

private fun collapses(fleet: Fleet): Int = fleet.agents.sumOf { agent ->
    val report = checkNotNull(Http.get("${agent.engineUrl}/state")) { "no report of an engine" }
    Json.parseToJsonElement(report).jsonObject.getValue("collapses").jsonPrimitive.int
}

private const val AGENTS = 16
private const val REQUESTS_PER_SECOND = 100.0
