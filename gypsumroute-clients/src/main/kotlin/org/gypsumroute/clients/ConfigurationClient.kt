/*
 * Client of the configuration service. The service offers only reads and a watch for changes.
 */
package org.gypsumroute.clients

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.right
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable
import okhttp3.Request

/** Client of the configuration service at [address] (host and port). */
class ConfigurationClient(private val address: String, timeouts: HttpTimeouts = HttpTimeouts()) :
    AutoCloseable {
    private val httpClient = SingleAttemptHttpClient(timeouts)
    private val longPollClient = SingleAttemptHttpClient(timeouts.forLongPoll(POLL_LIMIT))

    /** Lists the names, versions and entity tags of all documents, without their contents. */
    suspend fun list(): Either<ClientFailure, ConfigurationListing> {
        val url = urlBuilderFor(address, "/documents").build()
        return httpClient.call(Request.Builder().url(url).build(), MAX_LISTING_BYTES)
            .flatMap { it.errorStatusAsFailure() }
            .flatMap { decodeListing(it) }
    }

    /** Reads the bytes of the document called [name]. */
    suspend fun read(name: String): Either<ClientFailure, ByteArray> {
        val url = urlBuilderFor(address, "/documents").addPathSegment(name).build()
        return httpClient.call(Request.Builder().url(url).build(), MAX_DOCUMENT_RESPONSE_BYTES)
            .flatMap { it.errorStatusAsFailure() }
            .map { it.body }
    }

    /**
     * Waits for a change later than the sequence number [after] and returns the new listing, or
     * null if the service reported that nothing changed before the poll ended. A poll that got no
     * answer in some seconds is followed by a read of the listing.
     */
    suspend fun watch(after: Long): Either<ClientFailure, ConfigurationListing?> {
        val polled = poll(after)
        return if (polled.leftOrNull()?.let(::isUnanswered) == true) list() else polled
    }

    private suspend fun poll(after: Long): Either<ClientFailure, ConfigurationListing?> {
        val url = urlBuilderFor(address, "/watch")
            .addQueryParameter("after", after.toString())
            .build()
        return longPollClient.call(Request.Builder().url(url).build(), MAX_LISTING_BYTES)
            .flatMap { it.errorStatusAsFailure() }
            .flatMap { if (it.status == NO_CONTENT) null.right() else decodeListing(it) }
    }

    override fun close() {
        httpClient.close()
        longPollClient.close()
    }

    private fun decodeListing(response: HttpResponse): Either<ClientFailure, ConfigurationListing> =
        decodeJson<ListingJson>(response.text).map { json ->
            ConfigurationListing(
                json.sequence,
                json.documents.map { ListedDocument(it.name, it.version, it.etag) }
            )
        }

    private companion object {
        const val MAX_LISTING_BYTES = 4L * 1024 * 1024

        /** Well below the time within which a document has to be in force everywhere. */
        val POLL_LIMIT = 5.seconds

        /**
         * Documents may have up to 1 MiB. The limit here is larger, so that a document that is
         * slightly too large is read and the codec reports its size as a fault.
         */
        const val MAX_DOCUMENT_RESPONSE_BYTES = 2L * 1024 * 1024
    }
}

@Serializable
internal class ListingJson(val sequence: Long, val documents: List<ListedDocumentJson>)

@Serializable
internal class ListedDocumentJson(val name: String, val version: Long, val etag: String)
