/*
 * Measures taking a data centre out and putting it back under load. In the baseline, the data
 * centre's agents and engines are killed instead.
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
    val plan = FleetPlan(dataCentres = listOf("thamel", DATA_CENTRE_OUT), agentsPerDataCentre = 3)
    val default = Fleet(plan, run.files).start().use { fleet ->
        runWithDataCentreOut(run, fleet, 28.seconds) { phase ->
            val out = if (phase == Phase.OUT) listOf(DATA_CENTRE_OUT) else emptyList()
            fleet.publish(fleet.plan.document.copy(version = phase.version, dataCentresOut = out))
        }
    }
    val baseline = Fleet(plan, run.files).start().use { fleet ->
        runWithDataCentreOut(run, fleet, BACK_AT) { phase ->
            val killedAgents = fleet.agents.filter {
                it.dataCentre == DATA_CENTRE_OUT && phase == Phase.OUT
            }
            killedAgents.forEach { fleet.process(it.host).kill() }
            killedAgents.forEach { fleet.engineOf(it).kill() }
        }
    }
    val untilNewStream = default.firstNewStreamSeconds
    val requestRate = formatNumber(REQUESTS_PER_SECOND)
    return Measurement(
        key = "data-centre-out",
        title = "Data centre out and back",
        goal = "no new work after 3 s, nothing cut, 95th percentile of short prompts at most " +
            "1.5 times that before",
        checks = listOf(
            Check("last new work after the order", default.lastNewStreamSeconds, limit = 3.0, "s"),
            Check("requests cut or refused", default.failed, limit = 0.0),
            Check("p95 out to p95 before", default.p95Out / default.p95Before, limit = 1.5),
            Check("time until new work after the return", untilNewStream, limit = 11.0, "s")
        ),
        figures = listOf(
            Figure("last new work after the order", default.lastNewStreamSeconds, null, "s"),
            Figure("requests cut or refused", default.failed, baseline.failed, "requests"),
            Figure("p95 first token of short, before", default.p95Before, baseline.p95Before, "ms"),
            Figure("p95 first token of short, out", default.p95Out, baseline.p95Out, "ms"),
            Figure("p95 first token of short, back", default.p95Back, null, "ms"),
            Figure("first new work after the return", untilNewStream, null, "s")
        ),
        notes = listOf(
            "Baseline, no drain: the data centre's agents and engines are killed at the same " +
                "moment, and stay away. 2 entries, 2 data centres with 3 agents each, " +
                "$requestRate requests per second, 1 in 50 over 100,000 tokens; out at " +
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
                mapOf("gypsumroute" to default.p95BySecond, "no drain" to baseline.p95BySecond),
                mapOf("out" to toSeconds(OUT_AT), "back" to toSeconds(BACK_AT))
            )
        )
    )
}

private enum class Phase(val version: Int) { OUT(2), BACK(3) }

/**
 * Results of one run: percentiles before, during and after the outage, and the times at which new
 * streams were first seen in the data centre ([newStreamTimes], from the start of the load).
 */
private class OutageResult(
    plan: List<PlannedRequest>,
    outcomes: List<CallOutcome>,
    newStreamTimes: Collection<Duration>
) {
    private val arrivals = plan.associate { it.number to it.arrivalOffset }
    private val short = outcomes.shortPrompts()
    val p95Before = p95(1.seconds, OUT_AT)
    val p95Out = p95(OUT_AT, BACK_AT)
    val p95Back = p95(BACK_AT, 60.seconds)
    val failed = outcomes.failureCount().toDouble()
    val errors = formatErrorCounts(outcomes)
    val lastNewStreamSeconds = newStreamTimes.filter { it in OUT_AT..BACK_AT }.maxOrNull()
        ?.let { toSeconds(it - OUT_AT) } ?: 0.0
    val firstNewStreamSeconds = newStreamTimes.filter { it > BACK_AT }.minOrNull()
        ?.let { toSeconds(it - BACK_AT) } ?: Double.POSITIVE_INFINITY
    val p95BySecond = (1..toSeconds(plan.last().arrivalOffset).toInt()).map {
        it.toDouble() to p95(it.seconds, (it + 1).seconds)
    }.filterNot { it.second.isNaN() }

    private fun p95(from: Duration, until: Duration): Double =
        firstTokenP95Milliseconds(short.filter { arrivals.getValue(it.number) in from..until })
}

private fun runWithDataCentreOut(
    run: MeasureRun,
    fleet: Fleet,
    duration: Duration,
    onPhase: (Phase) -> Unit
): OutageResult {
    warmUp(fleet, loadProfileOf(shortPromptMix), REQUESTS_PER_SECOND, seconds = 6)
    val plan =
        planArrivals(
            loadProfileOf(shortPromptMix, longPromptMix),
            REQUESTS_PER_SECOND,
            duration,
            run.seed
        )
    val start = TimeSource.Monotonic.markNow()
    val sent = CompletableFuture.supplyAsync { sendAll(fleet, plan) }
    val firstSeenAt = ConcurrentHashMap<String, Duration>()
    val watcher = CompletableFuture.supplyAsync {
        while (!sent.isDone) {
            for (agent in fleet.agents.filter { it.dataCentre == DATA_CENTRE_OUT }) {
                for (stream in streamsOf(agent)) firstSeenAt.putIfAbsent(stream, start.elapsedNow())
            }
            Thread.sleep(POLL_INTERVAL_MILLISECONDS)
        }
    }
    for ((phase, at) in listOf(Phase.OUT to OUT_AT, Phase.BACK to BACK_AT)) {
        Thread.sleep((at - start.elapsedNow()).inWholeMilliseconds)
        onPhase(phase)
    }
    val outcomes = sent.get()
    watcher.get()
    return OutageResult(plan, outcomes, firstSeenAt.values)
}

private fun streamsOf(agent: Fleet.Agent): Set<String> {
    val report = Http.get("${agent.engineUrl}/state") ?: return emptySet()
    return Json.parseToJsonElement(report).jsonObject.getValue("streams").jsonObject.keys
}

private const val DATA_CENTRE_OUT = "patan"
private const val REQUESTS_PER_SECOND = 50.0
private const val POLL_INTERVAL_MILLISECONDS = 50L
private val OUT_AT = 8.seconds
private val BACK_AT = 18.seconds
