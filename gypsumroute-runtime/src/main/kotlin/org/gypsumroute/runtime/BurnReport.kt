package org.gypsumroute.runtime

import kotlin.time.Duration
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.LengthClassName
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.ServiceId

/** Labels that identify an objective. A label that its measurements lack is null. */
data class ObjectiveKey(
    val service: ServiceId,
    val lengthClass: LengthClassName?,
    val organisation: OrganisationId?,
    val dataCentre: DataCentreId?
)

/**
 * Number of good and bad requests in the latest [window]. A [burnRate] of 1 uses up the error
 * budget exactly at the end of the objective's period; 0 means that there was no bad request.
 */
data class BurnWindow(val window: Duration, val good: Long, val bad: Long, val burnRate: Double)

/**
 * Burn rates of one objective in all windows, shortest window first. [objectiveShare] is the share
 * of requests that must be good, from 0 to 1.
 */
data class ObjectiveBurnRates(
    val objective: ObjectiveKey,
    val objectiveShare: Double,
    val windows: List<BurnWindow>
)
