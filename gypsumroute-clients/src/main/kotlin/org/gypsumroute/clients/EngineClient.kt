/*
 * Client of a model engine. It has no retry policy: it never repeats a call, and it returns each
 * outcome to its user.
 */
package org.gypsumroute.clients

import arrow.core.Either
import arrow.core.flatMap
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.Response
import org.gypsumroute.api.EngineModel
import org.gypsumroute.api.FencingNumber
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.PrefixDigest

/**
 * Client of the engine at [address] (host and port). A stream without data for [streamIdleTimeout]
 * fails as [ClientFailure.Broken]; null sets no limit.
 */
class EngineClient(
    private val address: String,
    timeouts: HttpTimeouts = HttpTimeouts(call = 2.seconds),
    streamIdleTimeout: Duration? = null
) : AutoCloseable {
    private val httpClient = SingleAttemptHttpClient(timeouts)
    private val streamClient = SingleAttemptHttpClient(
        timeouts.copy(read = streamIdleTimeout ?: Duration.ZERO, call = null)
    )

    /** Reads the engine's state, which may be older than the latest change. */
    suspend fun readState(): Either<ClientFailure, EngineReport> =
        fetch(Request.Builder().url(urlBuilderFor(address, "/state").build()).build())
            .flatMap { decodeJson<EngineStateJson>(it.text) }
            .map { it.toReport() }

    /** Opens a stream. Its events are passed to [onEvent] on a thread of the client. */
    fun open(request: EngineStreamRequest, onEvent: (EngineStreamEvent) -> Unit): EngineStream {
        val imports = request.imports.map {
            HandleJson(it.handle.value, it.engineAddress, it.tokens.count)
        }
        val options = StreamOptionsJson(
            outputLimit = request.outputLimit.count,
            priority = request.priority,
            export = request.export,
            imports = imports
        )
        return startReading(
            Request.Builder()
                .url(streamUrl(request.lease).build())
                .header("Stream-Options", platformJson.encodeToString(options))
                .post(OneShotBody(PROMPT_TYPE, request.prompt))
                .build(),
            onEvent
        )
    }

    /** Reads an existing stream again, beginning with chunk number [fromChunk]. */
    fun resume(lease: LeaseId, fromChunk: Int, onEvent: (EngineStreamEvent) -> Unit): EngineStream {
        val url = streamUrl(lease).addQueryParameter("from", fromChunk.toString()).build()
        return startReading(Request.Builder().url(url).build(), onEvent)
    }

    /** Cancels a stream; success means that the engine has released everything it held for it. */
    suspend fun cancel(lease: LeaseId): Either<ClientFailure, Unit> =
        fetch(Request.Builder().url(streamUrl(lease).build()).delete().build()).map { }

    /** Releases a handle; success means that the engine no longer holds it. */
    suspend fun release(handle: HandleId): Either<ClientFailure, Unit> {
        val url = urlBuilderFor(address, "/handles").addQueryParameter("id", handle.value).build()
        return fetch(Request.Builder().url(url).delete().build()).map { }
    }

    /**
     * Orders the engine to load [model]. The engine rejects an order whose [fencing] number is
     * lower than the highest that it has received.
     */
    suspend fun load(model: EngineModel, fencing: FencingNumber): Either<ClientFailure, Unit> {
        val load = ModelJson(model.model.value, model.adapter, model.version)
        return sendOrder(OrderJson(fencing.value, load = load))
    }

    /** Orders the engine to take another role, fenced as in [load]. */
    suspend fun changeRole(role: String, fencing: FencingNumber): Either<ClientFailure, Unit> =
        sendOrder(OrderJson(fencing.value, role = role))

    /** Reads the changes of the prefix cache later than sequence number [after]. */
    suspend fun cacheEvents(after: Long): Either<ClientFailure, List<PrefixCacheEvent>> {
        val url = urlBuilderFor(address, "/cache-events")
            .addQueryParameter("after", after.toString()).build()
        return fetch(Request.Builder().url(url).build())
            .flatMap { decodeJson<CacheEventsJson>(it.text) }
            .map { json ->
                json.events.map { event ->
                    PrefixCacheEvent(
                        sequence = event.sequence,
                        added = event.added.map { PrefixDigest(it) },
                        removed = event.removed.map { PrefixDigest(it) }
                    )
                }
            }
    }

    override fun close() {
        httpClient.close()
        streamClient.close()
    }

    private suspend fun sendOrder(order: OrderJson): Either<ClientFailure, Unit> {
        val body = platformJson.encodeToString(order).encodeToByteArray()
        val request = Request.Builder()
            .url(urlBuilderFor(address, "/orders").build())
            .post(OneShotBody(JSON_TYPE, listOf(body)))
            .build()
        return fetch(request).map { }
    }

    private suspend fun fetch(request: Request): Either<ClientFailure, HttpResponse> =
        httpClient.call(request, MAX_RESPONSE_BYTES).flatMap { it.errorStatusAsFailure() }

    private fun startReading(request: Request, onEvent: (EngineStreamEvent) -> Unit): EngineStream {
        val call = streamClient.start(request) { outcome ->
            outcome.fold(
                { onEvent(EngineStreamEvent.Failed(it)) },
                { readEvents(it, onEvent) }
            )
        }
        return EngineStream { call.cancel() }
    }

    private fun readEvents(response: Response, onEvent: (EngineStreamEvent) -> Unit) {
        if (!isSuccessStatus(response.code)) {
            val failure = ClientFailure.ErrorStatus(response.code, errorText(response))
            return onEvent(EngineStreamEvent.Failed(failure))
        }
        var event: EngineStreamEvent? = null
        try {
            val source = response.body.source()
            while (event == null || event is EngineStreamEvent.Chunk) {
                val line = source.readUtf8LineStrict(MAX_LINE_BYTES)
                event = decodeStreamEvent(line, address)
                onEvent(event)
            }
        } catch (failure: IOException) {
            onEvent(EngineStreamEvent.Failed(ClientFailure.Broken(describe(failure))))
        }
    }

    private fun errorText(response: Response): String = try {
        response.peekBody(MAX_ERROR_TEXT_BYTES).string()
    } catch (failure: IOException) {
        describe(failure)
    }

    private fun streamUrl(lease: LeaseId) =
        urlBuilderFor(address, "/streams").addQueryParameter("id", lease.value)

    private companion object {
        const val MAX_RESPONSE_BYTES = 4L * 1024 * 1024
        const val MAX_LINE_BYTES = 1024L * 1024
        const val MAX_ERROR_TEXT_BYTES = 4096L
        val PROMPT_TYPE = "application/octet-stream".toMediaType()
        val JSON_TYPE = "application/json".toMediaType()
    }
}
