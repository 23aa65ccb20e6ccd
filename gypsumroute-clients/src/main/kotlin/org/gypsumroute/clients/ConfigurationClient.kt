/*
 * Client of the configuration service, which can only be read and watched.
 */
package org.gypsumroute.clients

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.right
import kotlinx.serialization.Serializable
import okhttp3.Request

/** Client of the configuration service at [address] (host and port). */
class ConfigurationClient(private val address: String, timeouts: HttpTimeouts = HttpTimeouts()) :
    AutoCloseable {
    private val calls = HttpCalls(timeouts)
    private val polls = HttpCalls(timeouts.forLongPoll())

    /** Lists all documents. */
    suspend fun list(): Either<ClientFailure, ConfigurationListing> =
        calls.call(Request.Builder().url(urlOf(address, "/documents").build()).build(), LIST_LIMIT)
            .flatMap { it.orRefused() }
            .flatMap { listing(it) }

    /** Reads a document's bytes. */
    suspend fun read(name: String): Either<ClientFailure, ByteArray> {
        val url = urlOf(address, "/documents").addPathSegment(name).build()
        return calls.call(Request.Builder().url(url).build(), DOCUMENT_LIMIT)
            .flatMap { it.orRefused() }
            .map { it.body }
    }

    /** Waits for a change after [after]; null if there was none for the poll's time. */
    suspend fun watch(after: Long): Either<ClientFailure, ConfigurationListing?> {
        val url = urlOf(address, "/watch").addQueryParameter("after", after.toString()).build()
        return polls.call(Request.Builder().url(url).build(), LIST_LIMIT)
            .flatMap { it.orRefused() }
            .flatMap { if (it.status == NO_CONTENT) null.right() else listing(it) }
    }

    override fun close() {
        calls.close()
        polls.close()
    }

    private fun listing(answer: HttpAnswer): Either<ClientFailure, ConfigurationListing> =
        decodeJson<ListingJson>(answer.text).map { json ->
            ConfigurationListing(
                json.sequence,
                json.documents.map { ListedDocument(it.name, it.version, it.etag) }
            )
        }

    private companion object {
        const val LIST_LIMIT = 4L * 1024 * 1024

        /** The service's values are up to 1 MB; one byte more is a fault that the codec names. */
        const val DOCUMENT_LIMIT = 2L * 1024 * 1024
    }
}

@Serializable
internal class ListingJson(val sequence: Long, val documents: List<ListedDocumentJson>)

@Serializable
internal class ListedDocumentJson(val name: String, val version: Long, val etag: String)
