/*
 * Measures the propagation of a document between processes: one entry reads it from the
 * configuration service, which is unavailable to all other processes.
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
    val plan = FleetPlan(dataCentres = listOf("thamel", "patan"), agentsPerDataCentre = 8)
    val fleet = Fleet(plan, run.files)
    val readerPort = run.files.port()
    val readerUrl = "http://${Fleet.LOOPBACK}:$readerPort"
    fleet.startConfiguration("configuration-of-reader", readerPort)
    val reader = fleet.entries.first().host
    val propagation = fleet.start { if (it == reader) readerUrl else fleet.configurationUrl }.use {
        propagate(run, it, readerUrl)
    }
    val times = propagation.times
    val lastAcceptance = times.filterNotNull().maxOrNull()
    val missingCount = times.count { it == null }
    val isComplete = missingCount == 0 && lastAcceptance != null
    val timeToAll = if (isComplete) lastAcceptance else Double.POSITIVE_INFINITY
    val acceptedCounts = times.filterNotNull().sorted().mapIndexed { index, at ->
        at to (index + 1).toDouble()
    }
    return Measurement(
        key = "document-spread",
        title = "Document spread without the configuration service",
        goal = "in force everywhere within 11 s of the publication",
        checks = listOf(Check("time until all processes hold it", timeToAll, limit = 11.0, "s")),
        figures = listOf(
            Figure(
                "processes that hold it after 15 s",
                acceptedCounts.size.toDouble(),
                1.0,
                "of 18"
            ),
            Figure("last acceptance", lastAcceptance ?: Double.NaN, null, "s")
        ),
        notes = listOf(
            "2 entries and 16 agents in two data centres. Only $reader can reach a configuration " +
                "service when version 2 is published; the service of all others is down, and " +
                "that of $reader goes down once it holds the document. Times come from the logs " +
                "of the processes.",
            "Baseline, watch only: an agent with the same settings but without peers (an empty " +
                "host list). " + if (propagation.acceptedWithoutPeers) {
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
                mapOf("gypsumroute" to (listOf(0.0 to 0.0) + acceptedCounts)),
                mapOf("goal" to 11.0)
            )
        )
    )
}

/**
 * Seconds from the publication until each process accepted the document, null if it did not; and
 * whether the agent without peers accepted it.
 */
private class Propagation(val times: List<Double?>, val acceptedWithoutPeers: Boolean)

private fun propagate(run: MeasureRun, fleet: Fleet, readerUrl: String): Propagation {
    val emptyHostListPort = run.files.port()
    fleet.startHostList("empty-host-list", emptyHostListPort, "[]")
    val agentWithoutPeers = Fleet.Agent("agent-alone", "thamel", run.files.port(), run.files.port())
    fleet.startEngine(agentWithoutPeers.host, agentWithoutPeers.enginePort, EngineSize())
    fleet.startAgent(agentWithoutPeers, hostList = "http://${Fleet.LOOPBACK}:$emptyHostListPort")
    awaitUntil("first document of ${agentWithoutPeers.host}", 20.seconds) {
        acceptedAt(fleet.process(agentWithoutPeers.host), version = 1) != null
    }
    Http.post("${fleet.configurationUrl}/test/mode?mode=unavailable")
    val hosts = fleet.agents.map { it.host } + fleet.entries.map { it.host }
    val publishedAt = Instant.now()
    fleet.publish(fleet.plan.document.copy(version = 2), readerUrl)
    awaitUntil("acceptance by the reader", 10.seconds) {
        acceptedAt(fleet.process(fleet.entries.first().host), version = 2) != null
    }
    Http.post("$readerUrl/test/mode?mode=unavailable")
    val start = TimeSource.Monotonic.markNow()
    while (start.elapsedNow() < 15.seconds) Thread.sleep(500)
    val times = hosts.map { host ->
        acceptedAt(fleet.process(host), version = 2)
            ?.let { Duration.between(publishedAt, it).toMillis() / 1_000.0 }
    }
    return Propagation(
        times,
        acceptedAt(fleet.process(agentWithoutPeers.host), version = 2) != null
    )
}

/** Time at which a process logged that it accepted a version of the document, or null. */
private fun acceptedAt(process: LocalProcess, version: Int): Instant? =
    process.log.useLines { lines ->
        lines.filter { "\"document_accepted\"" in it }
            .map { Json.parseToJsonElement(it).jsonObject }
            .firstOrNull { it["version"]?.jsonPrimitive?.content == "$version" }
            ?.let { Instant.parse(it.getValue("time").jsonPrimitive.content) }
    }
