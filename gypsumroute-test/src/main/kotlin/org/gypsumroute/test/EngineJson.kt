/*
 * JSON messages of the engine protocol. The simulation does not depend on this encoding.
 */
package org.gypsumroute.test

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

@Serializable
internal class StreamOptions(
    @SerialName("output_limit") val outputLimit: Int,
    val priority: Int = 0,
    val export: Boolean = false,
    val imports: List<ImportedHandle> = emptyList()
)

@Serializable
internal class ImportedHandle(val handle: String, val engine: String, val tokens: Long)

@Serializable
internal class OrderBody(val fencing: Long, val load: ModelBody? = null, val role: String? = null)

@Serializable
internal class ModelBody(val model: String, val adapter: String? = null, val version: String)

internal class EngineOrder(val fencing: Long, val load: LoadedModel?, val role: String?)

internal fun parseStreamOptions(header: String?): StreamOptions? = try {
    header?.let { Json.decodeFromString<StreamOptions>(it) }
} catch (_: SerializationException) {
    null
}

internal fun parseOrder(body: String): EngineOrder? = try {
    val order = Json.decodeFromString<OrderBody>(body)
    val load = order.load?.let { LoadedModel(it.model, it.adapter, it.version) }
    EngineOrder(order.fencing, load, order.role)
} catch (_: SerializationException) {
    null
}

/**
 * The lines from chunk [firstChunk] on up to the present progress, with the closing line if it
 * ended.
 */
internal fun streamLines(progress: StreamProgress, firstChunk: Int): String = buildString {
    for (number in firstChunk until progress.producedTokens) {
        append("""{"chunk":$number,"text":"t${progress.firstTokenNumber + number} ","tokens":1}""")
        append('\n')
    }
    val last = when (val outcome = progress.outcome) {
        null -> return@buildString

        is StreamOutcome.Ended -> buildJsonObject {
            put("end", progress.producedTokens)
            put("tokens", progress.producedTokens)
        }

        is StreamOutcome.Exported -> buildJsonObject {
            put("exported", outcome.handle)
            put("tokens", outcome.tokens)
        }

        is StreamOutcome.Failed -> buildJsonObject { put("failed", outcome.cause) }
    }
    append(Json.encodeToString(last))
    append('\n')
}

internal fun handleJson(handle: String, tokens: Long): JsonObject = buildJsonObject {
    put("handle", handle)
    put("tokens", tokens)
}

internal fun engineReportJson(state: EngineSimulation, at: Long): JsonObject = buildJsonObject {
    val report = state.visibleReport(at)
    put("start", report.startId)
    put("memory", state.settings.memoryTokens)
    put("used", report.usedTokens)
    putCounts("streams", report.streams)
    putCounts("handles", report.handles)
    report.loaded?.let {
        putJsonObject("loaded") {
            put("model", it.model)
            put("adapter", it.adapter)
            put("version", it.version)
        }
    }
    put("role", report.role)
    put("highest_fencing", report.highestFencing)
    put("cold", report.cold)
    put("collapses", report.collapses)
}

internal fun cacheEventsJson(state: EngineSimulation, after: Long, at: Long): JsonObject =
    buildJsonObject {
        putJsonArray("events") {
            state.cacheEvents.filter { it.sequence > after && it.visibleAt <= at }.forEach {
                add(
                    buildJsonObject {
                        put("sequence", it.sequence)
                        putJsonArray("added") { it.added.forEach { digest -> add(digest) } }
                        putJsonArray("removed") { it.removed.forEach { digest -> add(digest) } }
                    }
                )
            }
        }
    }

private fun JsonObjectBuilder.putCounts(name: String, counts: Map<String, Long>) =
    putJsonObject(name) { counts.forEach { (key, tokens) -> put(key, tokens) } }
