/*
 * JSON of an entry's `/status` page. Times are in seconds, memory in tokens.
 */
package org.gypsumroute.cli.status

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One entry's view of the fleet. */
@Serializable
internal data class StatusPage(
    val host: String,
    val incarnation: String,
    @SerialName("data_centre") val dataCentre: String,
    val ready: Boolean,
    val drain: String,
    val documents: List<StatusDocument>,
    val endpoints: List<StatusEndpoint>,
    val requests: Map<String, Int>,
    val queue: Map<String, Int> = emptyMap(),
    @SerialName("slow_readers") val slowReaders: List<StatusReader>
)

/** A service document that the entry has accepted. */
@Serializable
internal data class StatusDocument(
    val service: String,
    val version: String,
    val digest: String,
    val withdrawn: Boolean,
    @SerialName("data_centres_out") val dataCentresOut: List<String> = emptyList()
)

/** A peer. The fields from [warmShare] on are absent until its agent has sent a report. */
@Serializable
internal data class StatusEndpoint(
    val host: String,
    @SerialName("data_centre") val dataCentre: String? = null,
    val pool: String? = null,
    val leaving: Boolean? = null,
    val connected: Boolean,
    val incarnation: String? = null,
    @SerialName("unheard_seconds") val unheardSeconds: Double,
    @SerialName("warm_share") val warmShare: Double? = null,
    val memory: Long? = null,
    @SerialName("free_memory") val freeMemory: Long? = null,
    val running: Int? = null,
    val queued: Int? = null,
    @SerialName("expected_wait_seconds") val expectedWaitSeconds: Double? = null,
    val accepting: Boolean? = null
)

/** A caller that reads its answer too slowly. */
@Serializable
internal data class StatusReader(
    val request: String,
    val organisation: String,
    @SerialName("held_bytes") val heldBytes: Long,
    @SerialName("stalled_seconds") val stalledSeconds: Double
)
