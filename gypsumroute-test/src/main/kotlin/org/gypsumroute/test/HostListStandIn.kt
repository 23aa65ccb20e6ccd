/*
 * Stand-in of the host list, which clients read by long polling.
 */
package org.gypsumroute.test

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlin.time.Duration
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.update
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put

/** A host as the host list serves it; the fields are those of `HostRecord`. */
@Serializable
data class ListedHost(
    val host: String,
    val role: String,
    val region: String,
    val dataCentre: String,
    val address: String,
    val port: Int,
    val pool: String? = null,
    val leaving: Boolean = false
)

/** Stand-in of the host list. Each answer with hosts is delayed by [lag]. */
class HostListStandIn(
    hosts: List<ListedHost> = emptyList(),
    port: Int = 0,
    private val lag: Duration = Duration.ZERO
) : AutoCloseable {
    private val published = MutableStateFlow(HostSnapshot(1, hosts, available = true))
    private val server = StandInServer(port) {
        routing {
            get("/hosts") { respondHosts(call) }
            post("/test/hosts") { receiveHosts(call) }
            post("/test/leaving") {
                val query = call.request.queryParameters
                setLeaving(query["host"].orEmpty(), query["leaving"] != "false")
                respondJson(call, JsonObject(emptyMap()))
            }
            post("/test/mode") {
                setAvailable(call.request.queryParameters["mode"] != "unavailable")
                respondJson(call, JsonObject(emptyMap()))
            }
        }
    }

    /** Host and port of the host list. */
    val address: String get() = server.address

    /** Replaces the list. */
    fun setHosts(hosts: List<ListedHost>) =
        published.update { it.copy(sequence = it.sequence + 1, hosts = hosts) }

    /** Sets whether a host is marked as leaving. */
    fun setLeaving(host: String, leaving: Boolean) = published.update { snapshot ->
        val hosts = snapshot.hosts.map {
            if (it.host == host) it.copy(leaving = leaving) else it
        }
        snapshot.copy(sequence = snapshot.sequence + 1, hosts = hosts)
    }

    /** Sets whether the list is served; otherwise calls are answered with 503. */
    fun setAvailable(available: Boolean) = published.update { it.copy(available = available) }

    override fun close() = server.close()

    private suspend fun respondHosts(call: ApplicationCall) {
        val after = sequenceAfter(call)
        val found = published.longPoll(call) { it.sequence > after || !it.available }
        when {
            found == null -> respondNoContent(call)

            !found.available -> respondError(call, HttpStatusCode.ServiceUnavailable, "unavailable")

            else -> {
                delay(lag)
                respondJson(call, snapshotJson(found))
            }
        }
    }

    private suspend fun receiveHosts(call: ApplicationCall) {
        val hosts = parseHosts(call.receiveText())
        if (hosts == null) {
            respondError(call, HttpStatusCode.BadRequest, "not a list of hosts")
        } else {
            setHosts(hosts)
            respondJson(call, JsonObject(emptyMap()))
        }
    }

    companion object {
        /** Parses a JSON array of hosts; null if [json] is not one. */
        fun parseHosts(json: String): List<ListedHost>? = try {
            Json.decodeFromString<List<ListedHost>>(json)
        } catch (_: SerializationException) {
            null
        }
    }
}

private data class HostSnapshot(
    val sequence: Long,
    val hosts: List<ListedHost>,
    val available: Boolean
)

private fun snapshotJson(snapshot: HostSnapshot): JsonObject = buildJsonObject {
    put("sequence", snapshot.sequence)
    put("hosts", Json.encodeToJsonElement(snapshot.hosts))
}
