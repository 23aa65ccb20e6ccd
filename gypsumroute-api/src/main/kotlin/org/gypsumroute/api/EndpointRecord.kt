package org.gypsumroute.api

import kotlin.time.Duration

/**
 * One endpoint as it published itself. [startStamp] tells its starts apart when it keeps its [id];
 * [coldRemaining] is the time that it stays cold, as of the reading.
 */
data class EndpointRecord(
    val id: EndpointId,
    val service: ServiceId,
    val address: EndpointAddress,
    val dataCentre: DataCentreId,
    val slots: Int,
    val leaving: Boolean,
    val coldRemaining: Duration,
    val startStamp: Long?
)
