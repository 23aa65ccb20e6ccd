/*
 * Client of the host list service, which names all hosts with their roles and addresses.
 */
package org.gypsumroute.clients

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable
import okhttp3.Request
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.RegionId

/** Client of the host list service at [address] (host and port). */
class HostListClient(private val address: String, timeouts: HttpTimeouts = HttpTimeouts()) :
    AutoCloseable {
    private val longPollClient = SingleAttemptHttpClient(timeouts.forLongPoll(POLL_LIMIT))

    /**
     * Waits for a change later than the sequence number [after] and returns the new list, or null
     * if the service reported that nothing changed before the poll ended, or gave no answer in
     * some seconds. Zero precedes every change, so the list is returned at once.
     */
    suspend fun read(after: Long = 0): Either<ClientFailure, HostListing?> {
        val polled = poll(after)
        val isQuiet = after > 0 && polled.leftOrNull()?.let(::isUnanswered) == true
        return if (isQuiet) null.right() else polled
    }

    private suspend fun poll(after: Long): Either<ClientFailure, HostListing?> {
        val url = urlBuilderFor(
            address,
            "/hosts"
        ).addQueryParameter("after", after.toString()).build()
        return longPollClient.call(Request.Builder().url(url).build(), MAX_LISTING_BYTES)
            .flatMap { it.errorStatusAsFailure() }
            .flatMap { if (it.status == NO_CONTENT) null.right() else decodeListing(it) }
    }

    override fun close() = longPollClient.close()

    private fun decodeListing(response: HttpResponse): Either<ClientFailure, HostListing> =
        decodeJson<HostsJson>(response.text).flatMap { json ->
            val records = json.hosts.map { it.toRecord() }
            if (records.any { it == null }) {
                ClientFailure.Malformed("a host's role is neither entry nor agent").left()
            } else {
                HostListing(json.sequence, records.filterNotNull()).right()
            }
        }

    private companion object {
        /** Room for four times the 3,130 hosts of the target fleet size at 300 bytes each. */
        const val MAX_LISTING_BYTES = 4L * 1024 * 1024
        val POLL_LIMIT = 8.seconds
    }
}

@Serializable
internal class HostsJson(val sequence: Long, val hosts: List<HostJson>)

@Serializable
internal class HostJson(
    val host: String,
    val role: String,
    val region: String,
    val dataCentre: String,
    val address: String,
    val port: Int,
    val pool: String? = null,
    val leaving: Boolean = false
) {
    fun toRecord(): HostRecord? {
        val nodeRole = NodeRole.entries.firstOrNull { it.name.equals(role, ignoreCase = true) }
        return nodeRole?.let {
            HostRecord(
                host = HostId(host),
                role = it,
                region = RegionId(region),
                dataCentre = DataCentreId(dataCentre),
                address = address,
                port = port,
                pool = pool?.let { name -> PoolId(name) },
                leaving = leaving
            )
        }
    }
}
