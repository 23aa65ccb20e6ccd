/*
 * The JSON of the pages `/status` and `/burn`. Times are in seconds. Memory is in tokens, except in
 * fields whose names say bytes.
 */
package org.gypsumroute.entry.http

import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.gypsumroute.api.EndpointSummary
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.peers.PeerLink
import org.gypsumroute.core.requests.RequestPhase
import org.gypsumroute.core.requests.RequestRecord
import org.gypsumroute.runtime.ObjectiveBurnRates

/** State of this entry: its documents, endpoints, requests and slow readers. */
internal fun statusJson(state: EntryState): JsonObject = buildJsonObject {
    val common = state.common
    put("host", common.node.host.value)
    put("incarnation", common.node.incarnation.value)
    put("data_centre", common.node.dataCentre.value)
    put("ready", common.ready)
    put("drain", common.drain.name.lowercase())
    putDocuments(common)
    putEndpoints(common)
    putRequests("requests", state) { true }
    putRequests("queue", state) { it.phase in UNDISPATCHED }
    putSlowReaders(state)
}

/** Burn rates: one object for each service, length class, organisation and data centre. */
internal fun burnJson(rows: List<ObjectiveBurnRates>): JsonObject = buildJsonObject {
    putJsonArray("objectives") {
        for (row in rows) addJsonObject { putBurnRates(row) }
    }
}

private fun JsonObjectBuilder.putBurnRates(row: ObjectiveBurnRates) {
    put("service", row.objective.service.value)
    put("length_class", row.objective.lengthClass?.value)
    put("organisation", row.objective.organisation?.value)
    put("data_centre", row.objective.dataCentre?.value)
    put("objective_share", row.objectiveShare)
    putJsonArray("windows") {
        for (window in row.windows) {
            addJsonObject {
                put("window_seconds", window.window.inWholeSeconds)
                put("good", window.good)
                put("bad", window.bad)
                put("burn_rate", window.burnRate)
            }
        }
    }
}

private fun JsonObjectBuilder.putDocuments(common: CommonState) = putJsonArray("documents") {
    for ((service, document) in common.documents.accepted) {
        addJsonObject {
            put("service", service.value)
            put("version", document.document.version.toString())
            put("digest", document.digest.toString())
            put("withdrawn", document.document.withdrawn)
            putJsonArray("data_centres_out") {
                for (dataCentre in document.document.dataCentresOut) add(dataCentre.value)
            }
        }
    }
}

private fun JsonObjectBuilder.putEndpoints(common: CommonState) = putJsonArray("endpoints") {
    for (link in common.peers.values) {
        addJsonObject {
            val record = common.hosts[link.peer]
            put("host", link.peer.value)
            put("data_centre", record?.dataCentre?.value)
            put("pool", record?.pool?.value)
            put("leaving", record?.leaving)
            putLink(common, link)
            link.summary?.let { putSummary(it) }
        }
    }
}

private fun JsonObjectBuilder.putLink(common: CommonState, link: PeerLink) {
    put("connected", link.connection != null)
    put("incarnation", link.incarnation?.value)
    val silence = link.heartbeatUnansweredSince?.let { common.now - it } ?: Duration.ZERO
    put("unheard_seconds", seconds(silence))
}

private fun JsonObjectBuilder.putSummary(summary: EndpointSummary) {
    put("warm_share", summary.warmShare)
    put("memory", summary.engineMemory.count)
    put("free_memory", summary.freeMemory.count)
    put("running", summary.runningStreams)
    put("queued", summary.queued)
    put("expected_wait_seconds", seconds(summary.expectedWait))
    put("accepting", summary.accepting)
}

private fun JsonObjectBuilder.putRequests(
    field: String,
    state: EntryState,
    predicate: (RequestRecord) -> Boolean
) = putJsonObject(field) {
    state.requests.values.filter(predicate).groupingBy { it.spec.lengthClass }.eachCount()
        .forEach { (lengthClass, count) -> put(lengthClass.value, count) }
}

private fun JsonObjectBuilder.putSlowReaders(state: EntryState) = putJsonArray("slow_readers") {
    for ((request, held) in state.buffers.held) {
        val since = held.stalledSince ?: continue
        addJsonObject {
            put("request", request.value)
            put("organisation", held.organisation.value)
            put("held_bytes", held.answer.count)
            put("stalled_seconds", seconds(state.common.now - since))
        }
    }
}

private fun seconds(duration: Duration): Double = duration.toDouble(DurationUnit.SECONDS)

/** Phases in which no endpoint has been given the request's work. */
private val UNDISPATCHED = setOf(RequestPhase.WAITING, RequestPhase.ASKING)
