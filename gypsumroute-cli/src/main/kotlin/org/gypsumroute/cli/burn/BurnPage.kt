/*
 * JSON of an entry's `/burn` page and of the merged report.
 */
package org.gypsumroute.cli.burn

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Burn rates that one entry measured. */
@Serializable
internal data class BurnPage(val objectives: List<BurnObjective>)

/** Labels that identify an objective; null for a label that its requests do not have. */
internal data class BurnObjectiveKey(
    val service: String,
    val lengthClass: String?,
    val organisation: String?,
    val dataCentre: String?
)

/** Burn rates of one objective, shortest window first. */
@Serializable
internal data class BurnObjective(
    val service: String,
    @SerialName("length_class") val lengthClass: String? = null,
    val organisation: String? = null,
    @SerialName("data_centre") val dataCentre: String? = null,
    @SerialName("objective_share") val objectiveShare: Double,
    val windows: List<BurnCounts>
) {
    val key: BurnObjectiveKey
        get() = BurnObjectiveKey(service, lengthClass, organisation, dataCentre)
}

/** Counts of requests in one window. A [burnRate] of 1 uses up the error budget exactly. */
@Serializable
internal data class BurnCounts(
    @SerialName("window_seconds") val windowSeconds: Long,
    val good: Long,
    val bad: Long,
    @SerialName("burn_rate") val burnRate: Double
)

/** The merged report; [unreachable] has the cause for each entry that is not included. */
@Serializable
internal data class BurnReport(
    val entries: List<String>,
    val unreachable: Map<String, String>,
    val objectives: List<BurnObjective>
)
