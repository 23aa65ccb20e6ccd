/*
 * Client of a model engine. It decides nothing: no call is repeated, and each outcome goes to
 * the caller.
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
 * Client of the engine at [address] (host and port). A stream that delivers nothing for
 * [streamSilence] fails as broken; null waits without limit.
 */
class EngineClient(
    private val address: String,
    timeouts: HttpTimeouts = HttpTimeouts(whole = 2.seconds),
    streamSilence: Duration? = null
) : AutoCloseable {
    private val calls = HttpCalls(timeouts)
    private val streams =
        HttpCalls(timeouts.copy(read = streamSilence ?: Duration.ZERO, whole = null))

    /** Reads the engine's state, which may lag. */
    suspend fun readState(): Either<ClientFailure, EngineReport> =
        fetch(Request.Builder().url(urlOf(address, "/state").build()).build())
            .flatMap { decodeJson<EngineStateJson>(it.text) }
            .map { it.toReport() }

    /** Opens a stream; [deliver] gets its events on a thread of the client. */
    fun open(request: EngineStreamRequest, deliver: (EngineStreamEvent) -> Unit): EngineStream {
        val imports = request.imports.map {
            HandleJson(it.handle.value, it.engineAddress, it.tokens.count)
        }
        val options = StreamOptionsJson(
            outputLimit = request.outputLimit.count,
            priority = request.priority,
            export = request.export,
            imports = imports
        )
        return read(
            Request.Builder()
                .url(streamUrl(request.lease).build())
                .header("Stream-Options", platformJson.encodeToString(options))
                .post(OneShotBody(PROMPT_TYPE, request.prompt))
                .build(),
            deliver
        )
    }

    /** Reads a stream again from chunk [from] on. */
    fun resume(lease: LeaseId, from: Int, deliver: (EngineStreamEvent) -> Unit): EngineStream {
        val url = streamUrl(lease).addQueryParameter("from", from.toString()).build()
        return read(Request.Builder().url(url).build(), deliver)
    }

    /** Cancels a stream; success means that the engine holds nothing of it any more. */
    suspend fun cancel(lease: LeaseId): Either<ClientFailure, Unit> =
        fetch(Request.Builder().url(streamUrl(lease).build()).delete().build()).map { }

    /** Releases a handle; success means that the engine holds it no more. */
    suspend fun release(handle: HandleId): Either<ClientFailure, Unit> {
        val url = urlOf(address, "/handles").addQueryParameter("id", handle.value).build()
        return fetch(Request.Builder().url(url).delete().build()).map { }
    }

    /** Orders the engine to load a model. */
    suspend fun load(model: EngineModel, fencing: FencingNumber): Either<ClientFailure, Unit> {
        val load = ModelJson(model.model.value, model.adapter, model.version)
        return order(OrderJson(fencing.value, load = load))
    }

    /** Orders the engine to change its role. */
    suspend fun changeRole(role: String, fencing: FencingNumber): Either<ClientFailure, Unit> =
        order(OrderJson(fencing.value, role = role))

    /** Reads changes of the prefix cache after sequence number [after]. */
    suspend fun cacheEvents(after: Long): Either<ClientFailure, List<PrefixCacheEvent>> {
        val url = urlOf(address, "/cache-events")
            .addQueryParameter("after", after.toString()).build()
        return fetch(Request.Builder().url(url).build())
            .flatMap { decodeJson<CacheEventsJson>(it.text) }
            .map { answer ->
                answer.events.map { event ->
                    PrefixCacheEvent(
                        sequence = event.sequence,
                        added = event.added.map { PrefixDigest(it) },
                        removed = event.removed.map { PrefixDigest(it) }
                    )
                }
            }
    }

    override fun close() {
        calls.close()
        streams.close()
    }

    private suspend fun order(order: OrderJson): Either<ClientFailure, Unit> {
        val body = platformJson.encodeToString(order).encodeToByteArray()
        val request = Request.Builder()
            .url(urlOf(address, "/orders").build())
            .post(OneShotBody(JSON_TYPE, listOf(body)))
            .build()
        return fetch(request).map { }
    }

    private suspend fun fetch(request: Request): Either<ClientFailure, HttpAnswer> =
        calls.call(request, ANSWER_LIMIT).flatMap { it.orRefused() }

    private fun read(request: Request, deliver: (EngineStreamEvent) -> Unit): EngineStream {
        val call = streams.start(request) { outcome ->
            outcome.fold(
                { deliver(EngineStreamEvent.Failed(it)) },
                { readLines(it, deliver) }
            )
        }
        return EngineStream { call.cancel() }
    }

    private fun readLines(response: Response, deliver: (EngineStreamEvent) -> Unit) {
        if (!isSuccess(response.code)) {
            val refused = ClientFailure.Refused(response.code, refusalText(response))
            return deliver(EngineStreamEvent.Failed(refused))
        }
        var last: EngineStreamEvent? = null
        try {
            val source = response.body.source()
            while (last == null || last is EngineStreamEvent.Chunk) {
                val line = source.readUtf8LineStrict(LINE_LIMIT)
                last = streamEvent(line, address)
                deliver(last)
            }
        } catch (failure: IOException) {
            deliver(EngineStreamEvent.Failed(ClientFailure.Broken(describe(failure))))
        }
    }

    private fun refusalText(response: Response): String = try {
        response.peekBody(REFUSAL_LIMIT).string()
    } catch (failure: IOException) {
        describe(failure)
    }

    private fun streamUrl(lease: LeaseId) =
        urlOf(address, "/streams").addQueryParameter("id", lease.value)

    private companion object {
        const val ANSWER_LIMIT = 4L * 1024 * 1024
        const val LINE_LIMIT = 1024L * 1024
        const val REFUSAL_LIMIT = 4096L
        val PROMPT_TYPE = "application/octet-stream".toMediaType()
        val JSON_TYPE = "application/json".toMediaType()
    }
}
