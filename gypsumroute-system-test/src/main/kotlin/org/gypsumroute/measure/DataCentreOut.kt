/*
 * A data centre is taken out under load and comes back; the baseline just stops its processes.
 */
package org.gypsumroute.measure

import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.gypsumroute.cli.load.CallOutcome
import org.gypsumroute.cli.load.PlannedRequest
import org.gypsumroute.cli.load.planArrivals

internal fun measureDataCentreOut(run: MeasureRun): Measurement {
    val plan = FleetPlan(dataCentres = listOf("thamel", OUT), agentsPerCentre = 3)
    val default = Fleet(plan, run.files).start().use { fleet ->
        takeOut(run, fleet, 28.seconds) { phase ->
            val out = if (phase == Phase.OUT) listOf(OUT) else emptyList()
            fleet.publish(fleet.plan.document.copy(version = phase.version, centresOut = out))
        }
    }
    val baseline = Fleet(plan, run.files).start().use { fleet ->
        takeOut(run, fleet, BACK_AT) { phase ->
            val lost = fleet.agents.filter { it.centre == OUT && phase == Phase.OUT }
            lost.forEach { fleet.process(it.host).kill() }
            lost.forEach { fleet.engineOf(it).kill() }
        }
    }
    return Measurement(
        key = "data-centre-out",
        title = "Data centre out and back",
        goal = "no new work after 3 s, nothing cut, 95th percentile of short prompts at most " +
            "1.5 times that before",
        checks = listOf(
            Check("last new work after the order", default.lastNewWork, limit = 3.0, "s"),
            Check("requests cut or refused", default.failed, limit = 0.0),
            Check("p95 out to p95 before", default.out / default.before, limit = 1.5),
            Check("time until new work after the return", default.backAfter, limit = 11.0, "s")
        ),
        figures = listOf(
            Figure("last new work after the order", default.lastNewWork, null, "s"),
            Figure("requests cut or refused", default.failed, baseline.failed, "requests"),
            Figure("p95 first token of short, before", default.before, baseline.before, "ms"),
            Figure("p95 first token of short, out", default.out, baseline.out, "ms"),
            Figure("p95 first token of short, back", default.back, null, "ms"),
            Figure("first new work after the return", default.backAfter, null, "s")
        ),
        notes = listOf(
            "Baseline, no drain: the data centre's agents and engines are killed at the same " +
                "moment, and stay away. 2 entries, 2 data centres with 3 agents each, " +
                "${number(RATE)} requests per second, 1 in 50 over 100,000 tokens; out at " +
                "${OUT_AT.inWholeSeconds} s and back at ${BACK_AT.inWholeSeconds} s by the " +
                "service document. New work is a stream that the engine's state did not list " +
                "before, looked at every 50 ms.",
            "Errors: ${default.errors}; baseline: ${baseline.errors}."
        ),
        plots = listOf(
            Plot.Lines(
                "data-centre-out",
                "First token of short prompts, 95th percentile of each second",
                "ms",
                "seconds",
                mapOf("gypsumroute" to default.seconds, "no drain" to baseline.seconds),
                mapOf("out" to inSeconds(OUT_AT), "back" to inSeconds(BACK_AT))
            )
        )
    )
}

private enum class Phase(val version: Int) { OUT(2), BACK(3) }

private class Move(
    plan: List<PlannedRequest>,
    outcomes: List<CallOutcome>,
    newWork: Collection<Duration>
) {
    private val at = plan.associate { it.number to it.arrivalOffset }
    private val short = outcomes.short()
    val before = p95(1.seconds, OUT_AT)
    val out = p95(OUT_AT, BACK_AT)
    val back = p95(BACK_AT, 60.seconds)
    val failed = outcomes.failed().toDouble()
    val errors = errorsOf(outcomes)
    val lastNewWork = newWork.filter { it in OUT_AT..BACK_AT }.maxOrNull()
        ?.let { inSeconds(it - OUT_AT) } ?: 0.0
    val backAfter = newWork.filter { it > BACK_AT }.minOrNull()
        ?.let { inSeconds(it - BACK_AT) } ?: Double.POSITIVE_INFINITY
    val seconds = (1..inSeconds(plan.last().arrivalOffset).toInt()).map {
        it.toDouble() to p95(it.seconds, (it + 1).seconds)
    }.filterNot { it.second.isNaN() }

    private fun p95(from: Duration, until: Duration): Double =
        firstTokenP95(short.filter { at.getValue(it.number) in from..until })
}

private fun takeOut(
    run: MeasureRun,
    fleet: Fleet,
    length: Duration,
    change: (Phase) -> Unit
): Move {
    warmUp(fleet, mixOf(shortPart), RATE, seconds = 6)
    val plan = planArrivals(mixOf(shortPart, longPart), RATE, length, run.seed)
    val start = TimeSource.Monotonic.markNow()
    val sent = CompletableFuture.supplyAsync { send(fleet, plan) }
    val seen = ConcurrentHashMap<String, Duration>()
    val watched = CompletableFuture.supplyAsync {
        while (!sent.isDone) {
            for (agent in fleet.agents.filter { it.centre == OUT }) {
                for (stream in streamsOf(agent)) seen.putIfAbsent(stream, start.elapsedNow())
            }
            Thread.sleep(LOOK_MILLISECONDS)
        }
    }
    for ((phase, at) in listOf(Phase.OUT to OUT_AT, Phase.BACK to BACK_AT)) {
        Thread.sleep((at - start.elapsedNow()).inWholeMilliseconds)
        change(phase)
    }
    val outcomes = sent.get()
    watched.get()
    return Move(plan, outcomes, seen.values)
}

private fun streamsOf(agent: Fleet.Agent): Set<String> {
    val report = Http.get("${agent.engineUrl}/state") ?: return emptySet()
    return Json.parseToJsonElement(report).jsonObject.getValue("streams").jsonObject.keys
}

private const val OUT = "patan"
private const val RATE = 50.0
private const val LOOK_MILLISECONDS = 50L
private val OUT_AT = 8.seconds
private val BACK_AT = 18.seconds
