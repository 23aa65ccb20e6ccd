package org.gypsumroute.api

import kotlin.time.Duration

/**
 * One endpoint as it published itself.
 *
 * [startedAt] differs between starts of an endpoint that keeps its [id]; it is null if the record
 * has none. [coldRemaining] is how long the endpoint stays cold from the time when the record was
 * read. [slots] is the number of requests that it runs at a time. [sequence] rises with each record
 * that one start of the endpoint writes.
 */
data class EndpointRecord(
    val id: EndpointId,
    val service: ServiceId,
    val address: EndpointAddress,
    val dataCentre: DataCentreId,
    val slots: Int,
    val leaving: Boolean,
    val coldRemaining: Duration,
    val startedAt: UnixTime?,
    val sequence: Long
)
