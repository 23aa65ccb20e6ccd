/*
 * JSON of the engine protocol, which `docs/platform-protocols.md` specifies. Unknown fields are
 * ignored, so that engines may add fields.
 */
package org.gypsumroute.clients

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.gypsumroute.api.EngineModel
import org.gypsumroute.api.EngineState
import org.gypsumroute.api.FencingNumber
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.ModelId
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.Tokens

internal val platformJson = Json { ignoreUnknownKeys = true }

/** Decodes JSON; text that does not fit [T] is a [ClientFailure.Malformed] of its sender. */
internal inline fun <reified T> decodeJson(text: String): Either<ClientFailure, T> = try {
    platformJson.decodeFromString<T>(text).right()
} catch (failure: SerializationException) {
    ClientFailure.Malformed(failure.message.orEmpty()).left()
} catch (failure: IllegalArgumentException) {
    ClientFailure.Malformed(failure.message.orEmpty()).left()
}

@Serializable
internal class StreamOptionsJson(
    @SerialName("output_limit") val outputLimit: Long,
    val priority: Int,
    val export: Boolean,
    val imports: List<HandleJson>
)

@Serializable
internal class HandleJson(val handle: String, val engine: String, val tokens: Long)

@Serializable
internal class StreamLineJson(
    val chunk: Int? = null,
    val text: String = "",
    val tokens: Long = 0,
    val end: Int? = null,
    val exported: String? = null,
    val failed: String? = null
)

@Serializable
internal class ModelJson(val model: String, val adapter: String? = null, val version: String)

@Serializable
internal class OrderJson(val fencing: Long, val load: ModelJson? = null, val role: String? = null)

@Serializable
internal class EngineStateJson(
    val start: String,
    val memory: Long,
    val used: Long,
    val streams: Map<String, Long>,
    val handles: Map<String, Long>,
    val loaded: ModelJson? = null,
    val role: String? = null,
    @SerialName("highest_fencing") val highestFencing: Long
) {
    fun toReport() = EngineReport(
        EngineState(
            incarnation = IncarnationId(start),
            memory = Tokens(memory),
            usedMemory = Tokens(used),
            streams = streams.map { LeaseId(it.key) to Tokens(it.value) }.toMap(),
            handles = handles.map { HandleId(it.key) to Tokens(it.value) }.toMap(),
            loaded = loaded?.let { EngineModel(ModelId(it.model), it.adapter, it.version) },
            highestFencing = FencingNumber(highestFencing)
        ),
        role
    )
}

@Serializable
internal class CacheEventsJson(val events: List<CacheEventJson>)

@Serializable
internal class CacheEventJson(val sequence: Long, val added: List<Long>, val removed: List<Long>)

/** Decodes one line of the response to a stream call; [engine] is the address of the sender. */
internal fun decodeStreamEvent(line: String, engine: String): EngineStreamEvent =
    decodeJson<StreamLineJson>(line).fold(
        { EngineStreamEvent.Failed(it) },
        { toStreamEvent(it, engine) }
    )

private fun toStreamEvent(line: StreamLineJson, engine: String): EngineStreamEvent {
    val tokens = Tokens(line.tokens)
    return when {
        line.chunk != null ->
            EngineStreamEvent.Chunk(line.chunk, line.text.encodeToByteArray(), tokens)

        line.end != null -> EngineStreamEvent.Ended(line.end, tokens)

        line.exported != null ->
            EngineStreamEvent.Exported(SegmentHandle(HandleId(line.exported), engine, tokens))

        line.failed != null -> EngineStreamEvent.Failed(ClientFailure.Broken(line.failed))

        else -> EngineStreamEvent.Failed(ClientFailure.Malformed("unknown stream event"))
    }
}
