/*
 * Client of the host list.
 */
package org.gypsumroute.clients

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.Serializable
import okhttp3.Request
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.RegionId

/** Client of the host list at [address] (host and port). */
class HostListClient(private val address: String, timeouts: HttpTimeouts = HttpTimeouts()) :
    AutoCloseable {
    private val polls = HttpCalls(timeouts.forLongPoll())

    /**
     * Reads the list if it changed after [after], waiting up to the poll's time; null if it did
     * not. Zero is before any change and is answered at once.
     */
    suspend fun read(after: Long = 0): Either<ClientFailure, HostListing?> {
        val url = urlOf(address, "/hosts").addQueryParameter("after", after.toString()).build()
        return polls.call(Request.Builder().url(url).build(), LIST_LIMIT)
            .flatMap { it.orRefused() }
            .flatMap { if (it.status == NO_CONTENT) null.right() else listing(it) }
    }

    override fun close() = polls.close()

    private fun listing(answer: HttpAnswer): Either<ClientFailure, HostListing> =
        decodeJson<HostsJson>(answer.text).flatMap { json ->
            val records = json.hosts.map { it.toRecord() }
            if (records.any { it == null }) {
                ClientFailure.Malformed("a host's role is neither entry nor agent").left()
            } else {
                HostListing(json.sequence, records.filterNotNull()).right()
            }
        }

    private companion object {
        /** Room for the 3,130 hosts of the target size at 300 bytes each, four times over. */
        const val LIST_LIMIT = 4L * 1024 * 1024
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
        val known = NodeRole.entries.firstOrNull { it.name.equals(role, ignoreCase = true) }
        return known?.let {
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
