package org.gypsumroute.api

import kotlin.time.Duration

/**
 * One endpoint as it published itself. [born] tells its starts apart when it keeps its [id];
 * [coldFor] is the time that it stays cold, as of the reading.
 */
data class EndpointRecord(
    val id: EndpointId,
    val service: ServiceId,
    val address: EndpointAddress,
    val dataCentre: DataCentreId,
    val slots: Int,
    val leaving: Boolean,
    val coldFor: Duration,
    val born: Long?
)
