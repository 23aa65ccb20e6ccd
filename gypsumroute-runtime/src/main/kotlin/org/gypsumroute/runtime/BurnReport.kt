package org.gypsumroute.runtime

import kotlin.time.Duration
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.LengthClassName
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.ServiceId

/** What a burn rate is about; null where a measurement has no such label. */
data class ObjectiveKey(
    val service: ServiceId,
    val lengthClass: LengthClassName?,
    val organisation: OrganisationId?,
    val dataCentre: DataCentreId?
)

/**
 * Requests of one [window]. A [burnRate] of 1 uses up the error budget exactly by the end of the
 * objective's period; 0 means no bad request.
 */
data class BurnWindow(val window: Duration, val good: Long, val bad: Long, val burnRate: Double)

/** Burn rates of one subject over all windows, shortest first. */
data class ObjectiveBurnRates(
    val objective: ObjectiveKey,
    val objectiveShare: Double,
    val windows: List<BurnWindow>
)
