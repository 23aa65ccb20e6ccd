package org.gypsumroute.api

import kotlin.time.Duration

/**
 * The start [startedAt] of an endpoint said the time [ago] that it leaves: in an answer, or
 * [byRecord], in its published record, which no later start can have written.
 */
data class ReportedLeaving(
    val endpoint: EndpointId,
    val startedAt: UnixTime?,
    val ago: Duration,
    val byRecord: Boolean = false
)
