/*
 * Spread of a document from the one process that read it, while the configuration service is down
 * for all others.
 */
package org.gypsumroute.measure

import java.time.Duration
import java.time.Instant
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

internal fun measureDocumentSpread(run: MeasureRun): Measurement {
    val plan = FleetPlan(dataCentres = listOf("thamel", "patan"), agentsPerCentre = 8)
    val fleet = Fleet(plan, run.files)
    val ownPort = run.files.port()
    val ownUrl = "http://${Fleet.LOOPBACK}:$ownPort"
    fleet.startConfiguration("configuration-of-reader", ownPort)
    val reader = fleet.entries.first().host
    val spread = fleet.start { if (it == reader) ownUrl else fleet.configurationUrl }.use {
        spread(run, it, ownUrl)
    }
    val times = spread.times
    val last = times.filterNotNull().maxOrNull()
    val missing = times.count { it == null }
    val all = if (missing == 0 && last != null) last else Double.POSITIVE_INFINITY
    val steps = times.filterNotNull().sorted().mapIndexed { index, at ->
        at to (index + 1).toDouble()
    }
    return Measurement(
        key = "document-spread",
        title = "Document spread without the configuration service",
        goal = "in force everywhere within 11 s of the publication",
        checks = listOf(Check("time until all processes hold it", all, limit = 11.0, "s")),
        figures = listOf(
            Figure("processes that hold it after 15 s", steps.size.toDouble(), 1.0, "of 18"),
            Figure("last acceptance", last ?: Double.NaN, null, "s")
        ),
        notes = listOf(
            "2 entries and 16 agents in two data centres. Only $reader can reach a configuration " +
                "service when version 2 is published; the service of all others is down, and " +
                "that of $reader goes down once it holds the document. Times come from the logs " +
                "of the processes.",
            "Baseline, watch only: an agent with the same settings but without peers (an empty " +
                "host list). " + if (spread.aloneAccepted) {
                    "It accepted the document, so the baseline is not valid."
                } else {
                    "It had not accepted the document after 15 s, so only the reader would have."
                }
        ),
        plots = listOf(
            Plot.Lines(
                "document-spread",
                "Processes that hold the new document",
                "processes",
                "seconds after the publication",
                mapOf("gypsumroute" to (listOf(0.0 to 0.0) + steps)),
                mapOf("goal" to 11.0)
            )
        )
    )
}

/** Seconds from the publication to each process's acceptance; null if there was none. */
private class Spread(val times: List<Double?>, val aloneAccepted: Boolean)

private fun spread(run: MeasureRun, fleet: Fleet, ownUrl: String): Spread {
    val emptyList = run.files.port()
    fleet.startHostList("empty-host-list", emptyList, "[]")
    val alone = Fleet.Agent("agent-alone", "thamel", run.files.port(), run.files.port())
    fleet.startEngine(alone.host, alone.enginePort, EngineSize())
    fleet.startAgent(alone, hostList = "http://${Fleet.LOOPBACK}:$emptyList")
    await("first document of ${alone.host}", 20.seconds) {
        acceptance(fleet.process(alone.host), version = 1) != null
    }
    Http.post("${fleet.configurationUrl}/test/mode?mode=unavailable")
    val hosts = fleet.agents.map { it.host } + fleet.entries.map { it.host }
    val published = Instant.now()
    fleet.publish(fleet.plan.document.copy(version = 2), ownUrl)
    await("acceptance by the reader", 10.seconds) {
        acceptance(fleet.process(fleet.entries.first().host), version = 2) != null
    }
    Http.post("$ownUrl/test/mode?mode=unavailable")
    val start = TimeSource.Monotonic.markNow()
    while (start.elapsedNow() < 15.seconds) Thread.sleep(500)
    val times = hosts.map { host ->
        acceptance(fleet.process(host), version = 2)
            ?.let { Duration.between(published, it).toMillis() / 1_000.0 }
    }
    return Spread(times, acceptance(fleet.process(alone.host), version = 2) != null)
}

private fun acceptance(process: LocalProcess, version: Int): Instant? =
    process.log.useLines { lines ->
        lines.filter { "\"document_accepted\"" in it }
            .map { Json.parseToJsonElement(it).jsonObject }
            .firstOrNull { it["version"]?.jsonPrimitive?.content == "$version" }
            ?.let { Instant.parse(it.getValue("time").jsonPrimitive.content) }
    }
